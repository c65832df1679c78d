package jobsched

import (
	"testing"
	"time"
)

// TestFailuresFarApartDoNotQuarantineAWorker guards against failures that are
// counted, however far apart, until a task completes on the worker. A worker with
// only long-running tasks, which never complete, was quarantined after two of them
// failed by themselves half a minute apart, and a long-running task waited for 20 s
// although the worker had room.
func TestFailuresFarApartDoNotQuarantineAWorker(t *testing.T) {
	var h health
	h.recordFailure(testEpoch)
	later := testEpoch.Add(30 * time.Second)
	h.recordFailure(later)
	if !h.isAvailable(later) || h.isOnProbation(later) {
		t.Error("the worker is quarantined")
	}
}

// TestQuarantineDoublesWithEachFailedProbation checks that the quarantine of a
// worker that fails its probation doubles each time, up to maxQuarantine.
func TestQuarantineDoublesWithEachFailedProbation(t *testing.T) {
	var h health
	now := testEpoch
	h.recordFailure(now)
	h.recordFailure(now)
	for _, pause := range []time.Duration{firstQuarantine, 2 * firstQuarantine, 4 * firstQuarantine, maxQuarantine} {
		if h.isAvailable(now.Add(pause-time.Millisecond)) || !h.isAvailable(now.Add(pause)) {
			t.Errorf("not quarantined for exactly %s", pause)
		}
		now = now.Add(pause + time.Second)
		if !h.isOnProbation(now) {
			t.Error("not on probation")
		}
		h.recordFailure(now)
	}
}

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
		if !w.health.isAvailable(c.now) {
			quarantined++
		}
	}
	if quarantined > 1 {
		t.Errorf("%d of 4 workers are quarantined, want at most 1", quarantined)
	}
}
