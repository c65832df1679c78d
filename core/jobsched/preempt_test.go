package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// crowdWithBestEffortWork fills the workers with the given number of best-effort tasks
// and then submits an urgent long-running job of large tasks, which it returns.
func (c *cluster) crowdWithBestEffortWork(bestEffort, large int) job.ID {
	hungry := makeStep(bestEffort, 500, 20*time.Second)
	hungry.BestEffort, hungry.Checkpointing, hungry.Size.MemoryMB = true, true, 4000
	c.submit(1, "batch", hungry)
	c.run(time.Second)
	big := longRunning(large, 4000)
	big.Size.MemoryMB = 20000
	return c.submit(2, "urgent", big)
}

// TestUrgentTasksPreemptBestEffortWork guards against freed room that always goes to
// the first task that fits: a long-running task waited while smaller best-effort
// tasks kept arriving.
func TestUrgentTasksPreemptBestEffortWork(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	id := c.crowdWithBestEffortWork(60, 2)
	c.run(4 * time.Second)
	if n := c.runningOf(id); n != 2 {
		t.Errorf("%d long-running tasks run, want 2", n)
	}
}

// TestLongRunningTaskPreemptsShortWorkOfItsPriority guards against a long-running
// task that waits while short tasks of the same priority keep arriving and fill
// every gap. If only best-effort work and work of a lower priority is preempted, it
// waits for 20 s in a crowded cluster.
func TestLongRunningTaskPreemptsShortWorkOfItsPriority(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	for i := range 60 {
		// The ends are spread, so that the room of several tasks does not become
		// free at the same time and suffice without preemption.
		c.submit(1+i, "urgent", makeStep(1, 3000, time.Duration(1500+83*i)*time.Millisecond))
	}
	c.run(time.Second)
	id := c.submit(100, "urgent", longRunning(1, 10000))
	c.run(3500 * time.Millisecond)
	if n := c.runningOf(id); n != 1 {
		t.Errorf("%d long-running tasks run, want 1", n)
	}
}

// TestReservedTaskOfACanceledJobDoesNotStart checks that a task whose job is
// canceled while room is being made for it is not started once the room is free.
func TestReservedTaskOfACanceledJobDoesNotStart(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.run(200 * time.Millisecond)
	id := c.crowdWithBestEffortWork(30, 1)
	for len(c.machine.latestIncarnation("w000").reserved) == 0 {
		c.tick()
	}
	c.cancel(id)
	c.run(3 * time.Second)
	if n := c.truth[job.TaskKey{Job: id}]; n != nil && len(n.running) > 0 {
		t.Error("a task of the canceled job runs")
	}
}
