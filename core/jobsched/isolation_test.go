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

// TestEndedJobGivesUpItsTrial guards against a worker that is never used again, and a
// place for trials that is never given back, after a job ended before its trial began.
func TestEndedJobGivesUpItsTrial(t *testing.T) {
	const workers = 8
	c := newCluster(t, 1, workers)
	c.run(200 * time.Millisecond)
	c.storeDelay = 100 * time.Millisecond
	id := c.submitSuspect(1, longRunning(1, 1000))
	for i := 0; i < 200 && c.machine.requestedTrials.Len() == 0; i++ {
		c.tick()
	}
	c.cancel(id)
	c.run(time.Second)
	other := c.submitSuspect(2, longRunning(1, 1000))
	everywhere := c.submit(3, "urgent", longRunning(workers, 15000))
	c.run(5 * time.Second)
	if n := c.runningOf(other); n != 1 {
		t.Errorf("%d tasks of the other job that needs a trial run, want 1", n)
	}
	if n := c.runningOf(everywhere); n != workers {
		t.Errorf("tasks run on %d of %d workers", n, workers)
	}
}

// TestTrialWithoutRoomGivesUpItsPlace guards against a trial that lost its room while its
// record was being stored, and keeps its worker and its place from all other tasks.
func TestTrialWithoutRoomGivesUpItsPlace(t *testing.T) {
	const workers = 8
	c := newCluster(t, 1, workers)
	c.run(200 * time.Millisecond)
	c.submit(1, "urgent", longRunning(workers, 10000))
	c.run(time.Second)
	c.storeDelay = 3 * trialReservationTime
	c.submitSuspect(9, makeStep(1, 6000, 20*time.Second))
	for i := 0; i < 1000 && c.machine.requestedTrials.Len() == 0; i++ {
		c.tick()
	}
	c.run(trialReservationTime + 100*time.Millisecond)
	everywhere := c.submit(2, "urgent", longRunning(workers, 5000))
	c.submit(3, "batch", makeStep(1, 6000, 20*time.Second))
	c.run(2 * time.Second)
	c.storeDelay = 0
	other := c.submitSuspect(10, makeStep(1, 500, 20*time.Second))
	c.run(5 * time.Second)
	if n := c.runningOf(other); n != 1 {
		t.Errorf("%d tasks of the other job that needs a trial run, want 1", n)
	}
	if n := c.runningOf(everywhere); n != workers {
		t.Errorf("tasks run on %d of %d workers", n, workers)
	}
}

// submitSuspect submits a job with a task that must be tried alone.
func (c *cluster) submitSuspect(number int, s job.Step) job.ID {
	id := c.submit(number, "batch", makeStep(1, 1000, 50*time.Millisecond), s)
	c.accepted[id].Spec.Steps[1].After = []int{0}
	c.tick()
	task := c.machine.task(job.TaskKey{Job: id, Step: 1})
	task.last = 2
	task.crashes = []job.Crash{{Attempt: 1, ObservedRunMs: job.ObservedRunUnknown}, {Attempt: 2, ObservedRunMs: job.ObservedRunUnknown}}
	return id
}
