package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// TestTrialsGoOnUntilOneRuns guards against crashes that no leader counts, because the
// starts of a task are no longer trials after one of them did not reach its worker.
func TestTrialsGoOnUntilOneRuns(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(1, 1000, 20*time.Second))
	task := func() *task { return c.machine.task(job.TaskKey{Job: id}) }
	c.run(400 * time.Millisecond)
	// No leader sees the first crash.
	c.restart(c.workers[c.firstWorkerOf(id)])
	c.run(100 * time.Millisecond)
	c.replaceLeader()
	c.runUntil(func() bool { return len(task().attempts) > 0 })
	target := c.workers[task().attempts[0].worker.id.ID]
	target.partitioned = true
	c.handOver()
	c.run(2 * orderDelay)
	target.partitioned = false
	c.runUntil(func() bool { return c.runningOf(id) > 0 })
	c.handOver()
	c.run(100 * time.Millisecond)
	c.restart(c.workers[c.firstWorkerOf(id)])
	c.run(100 * time.Millisecond)
	c.replaceLeader()
	c.runUntil(func() bool { return c.runningOf(id) > 0 })
	if n := len(task().crashes); n != 1 {
		t.Errorf("%d crashes count, want 1 for the second of the workers that ended: %s", n, task().crashes)
	}
}

// runUntil runs until a condition holds, for at most 20 s.
func (c *cluster) runUntil(holds func() bool) {
	c.t.Helper()
	for end := c.now.Add(20 * time.Second); !holds(); {
		if c.now.After(end) {
			c.t.Fatal("the condition does not hold within 20 s")
		}
		c.tick()
	}
}

// TestAttemptBeforeATrialIsNoCrash guards against a crash that is counted for a worker that
// was cut off: the roster still lists an attempt there, and the task's trial that began
// elsewhere since is taken for that attempt.
func TestAttemptBeforeATrialIsNoCrash(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(1, 2000))
	c.run(time.Second)
	first := c.workers[c.firstWorkerOf(id)]
	first.partitioned = true
	c.run(1500 * time.Millisecond)
	c.replaceLeader()
	task := func() *task { return c.machine.task(job.TaskKey{Job: id}) }
	c.runUntil(func() bool {
		return len(task().attempts) == 1 && task().attempts[0].phase == phaseRunning && task().attempts[0].worker.id.ID != first.entry.ID
	})
	c.run(100 * time.Millisecond)
	c.replaceLeader()
	c.run(time.Second)
	if n := len(task().crashes); n != 0 {
		t.Errorf("%d crashes count though no worker ended: %s", n, task().crashes)
	}
}
