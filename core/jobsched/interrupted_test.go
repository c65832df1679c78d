package jobsched

import (
	"testing"
	"time"
)

// TestInterruptedTasksGoBeforeNewOnesInAFullCluster guards against interrupted long-
// running tasks that wait behind new ones. Workers of a full cluster are replaced
// one by one while long-running jobs keep arriving, and each new worker is given to
// the newest jobs.
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
		t.Errorf("a task had no running attempt for %s, want at most %s", longest, maxAbsence)
	}
}

// TestInterruptedTaskGoesBeforeTheRestOfAnOlderJob guards against ordering
// interrupted tasks by the age of their job. The worker of two jobs leaves and is
// replaced by smaller ones, one by one. The second of these was given to a task of
// the older job that had never run, instead of the interrupted task of the younger
// job.
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
