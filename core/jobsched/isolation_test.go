package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// TestInterruptedTasksAreTriedInTurn guards against interrupted long-running tasks
// that take all places for isolated trials, each given up again in the same round.
func TestInterruptedTasksAreTriedInTurn(t *testing.T) {
	const tasks, workers = 6, 16
	c := newCluster(t, 1, workers)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", makeStep(1, 1000, 50*time.Millisecond), longRunning(tasks, 1000))
	c.accepted[id].Spec.Steps[1].After = []int{0}
	c.tick()
	for index := range tasks {
		task := c.machine.task(job.TaskKey{Job: id, Step: 1, Index: index})
		task.last = 2
		task.crashes = []job.Crash{{Attempt: 1, ObservedRunMs: job.ObservedRunUnknown}, {Attempt: 2, ObservedRunMs: job.ObservedRunUnknown}}
	}
	// A trial takes the time for which it must be seen to run, and about a second to
	// be stored, started and reported.
	trial := defaultTrialTime + reportDelay + time.Second
	c.run(tasks / (workers / workersPerTrial) * trial)
	if n := c.runningOf(id); n != tasks {
		t.Errorf("%d of %d tasks run after their trials", n, tasks)
	}
}
