package jobsched

import (
	"testing"
	"time"
)

// TestFailingWorkerLeavesQuarantine guards against a worker that stays on probation
// because it runs long-running tasks: it gets one task at a time until one is done,
// and long-running tasks are never done.
func TestFailingWorkerLeavesQuarantine(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	c.submit(1, "urgent", longRunning(2, 2000))
	c.run(time.Second)
	c.workers["w001"].crash()
	c.workers["w001"].listed = false
	w := c.workers["w000"]
	w.failAll = true
	for i := range 3 {
		c.submit(10+i, "batch", makeStep(1, 1000, 200*time.Millisecond))
		c.run(400 * time.Millisecond)
	}
	w.failAll = false
	id := c.submit(20, "urgent", longRunning(3, 2000))
	c.run(15 * time.Second)
	if n := c.runningOf(id); n != 3 {
		t.Errorf("%d tasks run, want 3", n)
	}
}

// TestFailingJobsDoNotQuarantineWorkers guards against workers that are quarantined
// for the failures of jobs that can never succeed, each with a task on every worker.
// If two consecutive failures quarantine a worker whatever their cause, long-running
// tasks wait although workers have room; one waited for 20 s.
func TestFailingJobsDoNotQuarantineWorkers(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.run(200 * time.Millisecond)
	for _, w := range c.workers {
		w.failAll = true
	}
	for i := range 3 {
		failing := makeStep(4, 1000, 100*time.Millisecond)
		failing.MaxPerWorker = 1
		c.submit(1+i, "batch", failing)
		c.run(400 * time.Millisecond)
	}
	quarantined := 0
	for _, w := range c.machine.workers.All() {
		if !w.health.IsAvailable(c.now) {
			quarantined++
		}
	}
	if quarantined > 1 {
		t.Errorf("%d of 4 workers are quarantined, want at most 1", quarantined)
	}
}
