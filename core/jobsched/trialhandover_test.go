package jobsched

import (
	"testing"
	"time"
)

// TestTrialsEndOverPlannedChanges guards against trials whose time each new leader
// counts from its own takeover, so that the other tasks of the step never start.
func TestTrialsEndOverPlannedChanges(t *testing.T) {
	const tasks = 4
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(tasks, 2000))
	c.run(time.Second)
	c.handOver()
	c.run(time.Second)
	for range 4 {
		c.addWorker(len(c.workers))
	}
	c.run(time.Second)
	c.restart(c.workers["w000"])
	crashed, began := c.now, c.runningOf(id)
	for handedOver := c.now; c.runningOf(id) < tasks && c.now.Sub(crashed) < 30*time.Second; {
		c.tick()
		if c.now.Sub(handedOver) >= 1400*time.Millisecond {
			c.handOver()
			handedOver = c.now
		}
	}
	if took := c.now.Sub(crashed); took > maxAbsence {
		t.Errorf("%d of %d tasks run on after a crash, all again after %s, want at most %s", began, tasks, took, maxAbsence)
	}
}
