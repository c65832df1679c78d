package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// newFilledCluster returns a cluster in which best-effort tasks take all processors for
// longer than any test lasts.
func newFilledCluster(t *testing.T, workers int) *cluster {
	c := newCluster(t, 1, workers)
	c.run(200 * time.Millisecond)
	c.fill()
	return c
}

func (c *cluster) fill() {
	for i := range 8 * len(c.workers) {
		c.submit(500+i, "urgent", bestEffort(1, 2000, time.Hour))
	}
	c.run(2 * time.Second)
}

func bestEffort(count int, cpu int64, estimate time.Duration) job.Step {
	s := makeStep(count, cpu, estimate)
	s.BestEffort, s.Size.MemoryMB = true, 100
	return s
}

// longestIdle plays d and returns the longest time in which nothing of the job ran.
func (c *cluster) longestIdle(id job.ID, d time.Duration) time.Duration {
	longest, ranAt := time.Duration(0), c.now
	for end := c.now.Add(d); c.now.Before(end) && c.state(id) != job.Completed; {
		c.tick()
		if c.runningOf(id) > 0 {
			ranAt = c.now
		}
		longest = max(longest, c.now.Sub(ranAt))
	}
	return longest
}

func checkIdle(t *testing.T, what string, idle, limit time.Duration) {
	t.Helper()
	if idle > limit {
		t.Errorf("%s: nothing of the job runs for %s, want at most %s", what, idle, limit)
	}
}

// TestRefusedStartDoesNotBeginTheWaitAnew guards against a best-effort job that waits as
// long again each time that the worker it was started on refuses it.
func TestRefusedStartDoesNotBeginTheWaitAnew(t *testing.T) {
	c := newFilledCluster(t, 4)
	id := c.submit(1, "batch", bestEffort(1, 12000, 2*time.Second), withAfter(bestEffort(1, 12000, 2*time.Second), 0))
	refusals := 0
	c.refuseStart = func(s Start) bool {
		if s.Key.Job != id || refusals == 2 {
			return false
		}
		refusals++
		return true
	}
	checkIdle(t, "first step", c.longestIdle(id, settleTime), settleTime-maxIdle)
	refusals = 0
	checkIdle(t, "second step", c.longestIdle(id, settleTime), maxIdle)
}

func withAfter(s job.Step, after ...int) job.Step {
	s.After = after
	return s
}

// TestLongRunningBestEffortTasksRun guards against long-running best-effort tasks that
// wait for free processors while another task of their step runs.
func TestLongRunningBestEffortTasksRun(t *testing.T) {
	c := newFilledCluster(t, 4)
	s := bestEffort(2, 6000, time.Second)
	s.LongRunning, s.MaxPerWorker = true, 1
	id := c.submit(1, "batch", s)
	c.run(maxIdle)
	if n := c.runningOf(id); n != 2 {
		t.Errorf("%d of 2 tasks run after %s", n, maxIdle)
	}
}

// TestUnusableWorkersDoNotHideFreeCapacity guards against best-effort jobs that wait
// without a bound because the workers which are free may not be used now, so that the
// others are crowded.
func TestUnusableWorkersDoNotHideFreeCapacity(t *testing.T) {
	c := newCluster(t, 1, 6)
	c.run(200 * time.Millisecond)
	c.cordon(zoneOfWorker(2))
	c.run(time.Second)
	serving := longRunning(4, 10400)
	serving.MaxPerWorker, serving.Size.MemoryMB = 1, 100
	c.submit(1, "urgent", serving)
	c.run(time.Second)
	c.liftCordon(zoneOfWorker(2))
	c.run(time.Second)
	c.fill()
	c.cordon(zoneOfWorker(2))
	id := c.submit(2, "batch", bestEffort(1, 12000, 2*time.Second))
	checkIdle(t, "beside a cordoned zone", c.longestIdle(id, 20*time.Second), settleTime-maxIdle)
}

// TestSilentWorkerDoesNotHoldItsJob guards against a best-effort job whose other tasks
// wait until it is certain that the one on a silent worker is over.
func TestSilentWorkerDoesNotHoldItsJob(t *testing.T) {
	c := newFilledCluster(t, 4)
	id := c.submit(1, "batch", bestEffort(8, 12000, 5*time.Second))
	c.run(settleTime - maxIdle)
	on := c.firstWorkerOf(id)
	if on == "" {
		t.Fatal("nothing of the job runs")
	}
	c.workers[on].crash()
	checkIdle(t, "after a crash", c.longestIdle(id, 15*time.Second), maxIdle)
}

// TestLaterRepetitionsDoNotWaitAnew guards against a schedule each of whose repetitions
// waits as long for free processors as the first one.
func TestLaterRepetitionsDoNotWaitAnew(t *testing.T) {
	const interval = 15 * time.Second
	c := newFilledCluster(t, 4)
	id := job.ID("0000000000000001")
	c.accepted[id] = &job.Accepted{
		Spec: job.Spec{Payload: "p", Steps: []job.Step{bestEffort(1, 12000, time.Second)}, Schedule: &job.Schedule{
			StartMs: c.wall.UnixMilli(), IntervalMs: interval.Milliseconds(), Repetitions: 4,
		}},
		Queue: *c.config.Queues["batch"], ConfigVersion: 1, AcceptedAtMs: c.wall.UnixMilli(),
	}
	c.machine.Handle(c.now, JobAccepted{ID: id, Record: c.accepted[id]})
	c.run(interval)
	for range 3 {
		c.run(maxIdle)
		if c.runningOf(id) == 0 {
			t.Errorf("nothing runs %s after a repetition was due", maxIdle)
		}
		c.run(interval - maxIdle)
	}
}

// TestTakeoverDoesNotSlowBestEffortWork guards against a new leader that takes attempts
// for overcommitted which an earlier one ran at full speed.
func TestTakeoverDoesNotSlowBestEffortWork(t *testing.T) {
	c := newFilledCluster(t, 1)
	serving := longRunning(1, 8000)
	serving.Size.MemoryMB = 100
	c.submit(1, "urgent", serving)
	c.run(3 * time.Second)
	c.handOver()
	c.run(5 * time.Second)
	for _, a := range c.workers["w000"].sortedAttempts() {
		if a.share < fullSpeed {
			t.Errorf("%v runs at %d%% after a takeover", a.key, a.share)
		}
	}
}
