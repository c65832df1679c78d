package jobsched

import (
	"testing"
	"time"
)

// Workers of a full cluster were replaced one after the other while long-running
// jobs kept being handed in. Long-running tasks that were stopped because their
// worker left were not started again for 10 s and more, with "no room" on all
// workers; meanwhile eight of nine long-running starts were first starts. Among
// long-running steps those came first whose job could still meet its objective,
// so that each new worker went to the newest jobs, and the tasks of an older one,
// which were at work before, to the end of the queue.
func TestInterruptedTasksGoBeforeNewOnesInAFullCluster(t *testing.T) {
	const workers, tasks = 6, 30
	c := newCluster(t, 1, workers)
	c.run(200 * time.Millisecond)
	old := c.submit(1, "urgent", longRunning(tasks, 3000))
	c.run(6 * time.Second)
	if n := c.runningOf(old); n != tasks {
		t.Fatalf("%d tasks run before workers are replaced, want %d", n, tasks)
	}
	absent := make(absences)
	longest := time.Duration(0)
	for i := range 2 * workers {
		leaving := c.workers[c.workerIDs()[i]]
		c.drain(leaving)
		c.after(time.Second, func() { c.addWorker(workers + i) })
		c.after(2500*time.Millisecond, func() { c.depart(leaving) })
		for tick := range 200 {
			if tick%60 == 0 {
				c.submit(100+10*i+tick/60, "urgent", longRunning(2, 3000))
			}
			c.tick()
			longest = max(longest, absent.update(c, old, tasks))
		}
	}
	if longest > maxAbsence {
		t.Errorf("a task did not run for %s, want at most %s", longest, maxAbsence)
	}
}

// The worker of two jobs left, and smaller ones came for it one by one. The second
// of them went to a task of the older job that had never run, and the younger
// job's task, which had, was left out. The age of a job says nothing of which of
// its tasks was interrupted.
func TestInterruptedTaskGoesBeforeTheRestOfAnOlderJob(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.run(200 * time.Millisecond)
	older := c.submit(1, "urgent", longRunning(2, 10000))
	younger := c.submit(2, "urgent", longRunning(1, 6000))
	c.run(time.Second)
	if a, b := c.runningOf(older), c.runningOf(younger); a != 1 || b != 1 {
		t.Fatalf("%d and %d tasks run at first, want 1 and 1", a, b)
	}
	leaving := c.workers["w000"]
	c.drain(leaving)
	c.run(1500 * time.Millisecond)
	c.depart(leaving)
	for i := range 2 {
		c.addWorker(1 + i).entry.Capacity.MilliCPU = 10000
		c.run(1500 * time.Millisecond)
	}
	if a, b := c.runningOf(older), c.runningOf(younger); a != 1 || b != 1 {
		t.Errorf("%d tasks of the older job and %d of the younger run again, want 1 and 1", a, b)
	}
}
