package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

func longRunning(count int, cpu int64) job.Step {
	s := makeStep(count, cpu, time.Second)
	s.LongRunning = true
	return s
}

func (c *cluster) runningOf(id job.ID) int {
	n := 0
	for key, truth := range c.truth {
		if key.Job == id {
			n += len(truth.running)
		}
	}
	return n
}

// TestAttemptsSurviveSeveralTakeovers guards against adopted attempts that a later
// leader takes for stale. A leader takes over, adopts attempt 1, and stores that
// numbers up to 17 may have been used; then another takes over from it. It
// considered an attempt with so low a number stale and did not assign it to its
// task, so that tasks ran twice.
func TestAttemptsSurviveSeveralTakeovers(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(4, 2000))
	c.run(time.Second)
	for range 4 {
		c.replaceLeader()
		c.run(2 * time.Second)
	}
	if n := c.runningOf(id); n != 4 || c.starts != 4 {
		t.Errorf("%d tasks run after %d starts, want 4 after 4", n, c.starts)
	}
}

// TestWorkerMissingFromTheListAtATakeover guards against a leader that takes the
// list of workers for complete. In an outage of the platform's store the entries of
// workers expire, and a new leader reads a list that lacks a healthy worker. It
// started the tasks of that worker elsewhere, so that they ran twice.
func TestWorkerMissingFromTheListAtATakeover(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(8, 2000))
	c.run(time.Second)
	for _, w := range c.workers {
		w.listed = false
	}
	c.workers["w003"].listed = true
	c.replaceLeader()
	c.run(500 * time.Millisecond)
	for _, w := range c.workers {
		w.listed = true
	}
	c.run(8 * time.Second)
	if n := c.runningOf(id); n != 8 || c.starts != 8 {
		t.Errorf("%d tasks run after %d starts, want 8 after 8", n, c.starts)
	}
}

// TestWorkerCutOffAtATakeover checks the tasks of a worker that is unreachable at a
// takeover and runs on until its lease ends: they wait until then and start
// elsewhere, while the other tasks continue.
func TestWorkerCutOffAtATakeover(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(8, 2000))
	c.run(time.Second)
	c.workers["w002"].partitioned = true
	c.replaceLeader()
	c.run(12 * time.Second)
	if n := c.runningOf(id); n != 8 {
		t.Errorf("%d tasks run, want 8", n)
	}
}

// TestEndsAreAcknowledgedOnlyWhenStored checks that workers keep their ends while
// the store is unavailable, so that a new leader receives them.
func TestEndsAreAcknowledgedOnlyWhenStored(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	c.storeDown = true
	id := c.submit(1, "batch", makeStep(4, 1000, 300*time.Millisecond))
	c.run(2 * time.Second)
	if s := c.state(id); s == job.Completed {
		t.Fatal("the job is completed while the store is unavailable")
	}
	c.storeDown = false
	c.replaceLeader()
	c.run(2 * time.Second)
	if s := c.state(id); s != job.Completed || c.starts != 4 {
		t.Errorf("state %s after %d starts, want completed after 4", s, c.starts)
	}
}

// TestFailureIsCountedOnceOverATakeover guards against a failure that is counted
// again after a takeover. A failure is counted and stored, and the leader is lost
// before the worker receives the acknowledgement, so that the end is reported to the
// next leader too. A job failed although no task had failed often enough.
func TestFailureIsCountedOnceOverATakeover(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	for _, w := range c.workers {
		w.failAll = true
	}
	id := c.submit(1, "batch", makeStep(1, 1000, 100*time.Millisecond))
	for len(c.stored(id).Failed) == 0 {
		c.tick()
	}
	for _, w := range c.workers {
		w.failAll = false
	}
	for range 4 {
		// Each leader receives the ends, and they are stored, before it acknowledges them.
		c.replaceLeader()
		c.machine.Handle(c.now, Renewed{Worker: c.workers["w000"].entry.Incarnation, SentAt: c.now, Verdict: VerdictDone, Report: c.workers["w000"].renew(Renew{})})
		c.machine.Handle(c.now, Renewed{Worker: c.workers["w001"].entry.Incarnation, SentAt: c.now, Verdict: VerdictDone, Report: c.workers["w001"].renew(Renew{})})
		for _, e := range c.machine.Advance(c.now, c.wall) {
			if commit, ok := e.(Commit); ok {
				c.store(commit)
			}
		}
	}
	if n := len(c.stored(id).Failed); n != 1 {
		t.Errorf("%d failures are counted, want 1", n)
	}
	c.replaceLeader()
	c.run(10 * time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("state %s, want completed", s)
	}
}

// stored returns the stored progress of a job's first task.
func (c *cluster) stored(id job.ID) job.TaskProgress {
	p := c.progress[id]
	if p == nil || len(p.Occurrences) == 0 {
		return job.TaskProgress{}
	}
	return p.Occurrences[0].Steps[0].Tasks[0]
}

// TestFailuresAreCountedInAnyOrder guards against counting only failures of attempts
// later than the last counted one. Attempts 1 and 2 fail on two workers while the
// store is unavailable, and the next leader receives the end of attempt 2 first. The
// task was started again after all its attempts had failed.
func TestFailuresAreCountedInAnyOrder(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(1, 1000, 100*time.Millisecond))
	c.replaceLeader()
	key := job.TaskKey{Job: id}
	for i, worker := range []model.WorkerID{"w001", "w000"} {
		end := EndedAttempt{Number: 1, Key: key, Attempt: 2 - i, Cause: EndFailed}
		report := Report{ClockMs: c.clock(worker), Ended: []EndedAttempt{end}}
		c.machine.Handle(c.now, Renewed{Worker: c.workers[worker].entry.Incarnation, SentAt: c.now, Verdict: VerdictDone, Report: report})
	}
	if n := len(c.machine.task(key).failed); n != 2 {
		t.Errorf("%d failures are counted, want 2", n)
	}
}

// TestFailureOfALostAttemptCounts guards against ends of lost attempts that are
// ignored. A worker is partitioned, its attempt fails there and is declared lost;
// the worker answers again and reports the failure, which is acknowledged. The task
// had more attempts than allowed.
func TestFailureOfALostAttemptCounts(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.run(200 * time.Millisecond)
	w := c.workers["w000"]
	w.failAll = true
	id := c.submit(1, "batch", makeStep(1, 1000, time.Second))
	c.run(500 * time.Millisecond)
	w.partitioned = true
	c.run(8 * time.Second)
	w.partitioned, w.failAll = false, false
	c.run(100 * time.Millisecond)
	for len(c.stored(id).Failed) == 0 && c.now.Sub(testEpoch) < 20*time.Second {
		c.tick()
	}
	if n := len(c.stored(id).Failed); n != 1 {
		t.Errorf("%d failures are counted, want 1", n)
	}
}

// TestWhatWasLearnedIsTakenOver checks that a new leader keeps an image away from
// the images that it disturbs, as learned by the previous leader. Without this,
// serving tasks exceed their target for about ten seconds after each takeover.
func TestWhatWasLearnedIsTakenOver(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.machine.learner.Import(c.now, []interference.Effect{
		{Victim: "serving", Aggressor: "loud", Mean: 1.5, Std: 0.1},
		{Victim: "serving", Aggressor: "quiet", Mean: 0, Std: 0.1},
	})
	c.run(4 * time.Second)
	c.replaceLeader()
	c.run(200 * time.Millisecond)
	serving := longRunning(2, 2000)
	serving.Image, serving.LatencyTargetMs, serving.MaxPerWorker = "serving", 150, 1
	c.submit(1, "urgent", serving)
	c.run(time.Second)
	loud, quiet := makeStep(2, 1000, 20*time.Second), makeStep(2, 1000, 20*time.Second)
	loud.BestEffort, loud.Image = true, "loud"
	quiet.BestEffort, quiet.Image = true, "quiet"
	loudJob, quietJob := c.submit(2, "batch", loud), c.submit(3, "batch", quiet)
	c.run(time.Second)
	if c.runningOf(loudJob) != 0 || c.runningOf(quietJob) != 2 {
		t.Errorf("%d loud and %d quiet tasks run next to serving ones, want 0 and 2",
			c.runningOf(loudJob), c.runningOf(quietJob))
	}
}

// TestDeposedLeaderNotifiesItsDaemon guards against a machine that stops before it
// notifies its daemon that a worker refused an order because another daemon leads.
// The leader's key had been deleted while its lease was still valid; the daemon kept
// the lease, did nothing, and never campaigned for the lead again.
func TestDeposedLeaderNotifiesItsDaemon(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	c.submit(1, "urgent", longRunning(2, 2000))
	c.machine.Handle(c.now, Renewed{Worker: c.workers["w000"].entry.Incarnation, SentAt: c.now, Verdict: VerdictFenced})
	deposed := false
	for _, e := range c.machine.Advance(c.now, c.wall) {
		switch e.(type) {
		case Deposed:
			deposed = true
		case Note:
		default:
			t.Errorf("effect %T after the lead was lost", e)
		}
	}
	if !deposed {
		t.Error("the daemon is not notified")
	}
}

// TestClaimedServingTaskIsCountedOnce guards against a wrong count of serving tasks.
// A worker runs a serving task of a job that the new leader does not know yet; the
// job is recovered later, and the attempt ends. The end was subtracted from the
// count although the attempt had never been added, so that best-effort work was
// placed next to serving tasks that it disturbs.
func TestClaimedServingTaskIsCountedOnce(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.run(200 * time.Millisecond)
	serving := longRunning(1, 2000)
	serving.Image, serving.LatencyTargetMs = "serving", 150
	key := job.TaskKey{Job: "0000000000000001"}
	report := Report{ClockMs: c.clock("w000"), Running: []RunningAttempt{{Key: key, Attempt: 1, Percent: 100}}}
	c.machine.Handle(c.now, Renewed{Worker: c.workers["w000"].entry.Incarnation, SentAt: c.now, Verdict: VerdictDone, Report: report})
	c.submit(1, "urgent", serving)
	c.machine.Advance(c.now, c.wall)
	w := c.machine.latestIncarnation("w000")
	if w.servingTasks != 1 {
		t.Errorf("%d serving tasks are counted, want 1, which is being stopped", w.servingTasks)
	}
	for _, a := range w.attempts.All() {
		c.machine.endAttempt(a, EndStopped, "")
	}
	if w.servingTasks != 0 {
		t.Errorf("%d serving tasks are counted after the end, want 0", w.servingTasks)
	}
}
