package jobsched

import (
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

const (
	massCrashFleet    = 24
	massCrashServing  = 4
	massCrashJobs     = 16
	massCrashJobTasks = 6
)

// TestTakeoversAmidMassCrashesHoldNothingBack guards against innocent tasks that a
// new leader tries one after the other, because it never heard the workers that
// crashed together under them.
func TestTakeoversAmidMassCrashesHoldNothingBack(t *testing.T) {
	// A leader that is lost at once has not stored that the workers are silent.
	for name, lostAfter := range map[string]time.Duration{"at once": 50 * time.Millisecond, "later": 2500 * time.Millisecond} {
		for ids, keepIDs := range map[string]bool{"new ids": false, "same ids": true} {
			t.Run(ids+"/leader lost "+name, func(t *testing.T) {
				c := newCluster(t, 1, massCrashFleet)
				c.keepIDs = keepIDs
				c.keepFinalJobs()
				jobs := c.submitMassCrashJobs()
				c.run(time.Second)
				c.crashTogether(0, 15, 4*time.Second)
				c.run(lostAfter)
				c.replaceLeader()
				c.run(8 * time.Second)
				c.crashTogether(15, massCrashFleet, time.Minute)
				c.run(lostAfter)
				c.replaceLeader()
				c.checkAllRunWithin(jobs, c.machine.earlierLeasesEnd().Sub(c.now)+unlistedLossGrace+time.Second)
			})
		}
	}
}

// submitMassCrashJobs submits long-running and long tasks that need a third of the
// room and returns their jobs.
func (c *cluster) submitMassCrashJobs() []job.ID {
	c.run(200 * time.Millisecond)
	jobs := []job.ID{c.submit(1, "urgent", longRunning(massCrashServing, 1000))}
	for i := range massCrashJobs {
		jobs = append(jobs, c.submit(100+i, "batch", makeStep(massCrashJobTasks, 1000, 40*time.Second)))
	}
	return jobs
}

// crashTogether crashes some of the first workers at one moment. Each is back after
// the given time.
func (c *cluster) crashTogether(from, to int, back time.Duration) {
	c.restartTime = back
	for _, id := range c.workerIDs()[from:to] {
		if w := c.workers[id]; !w.dead {
			c.restart(w)
		}
	}
}

// checkAllRunWithin checks that each task of the jobs runs, or is done, at some
// moment at most limit from now.
func (c *cluster) checkAllRunWithin(jobs []job.ID, limit time.Duration) {
	c.t.Helper()
	began := c.now
	for c.waitingTasks(jobs) > 0 && c.now.Sub(began) < time.Minute {
		c.run(50 * time.Millisecond)
	}
	for _, id := range jobs {
		if s := c.state(id); s == job.Failed {
			c.t.Errorf("job %s has failed, but none of its tasks crashes workers", id)
		}
	}
	if took := c.now.Sub(began); took > limit {
		c.t.Errorf("all tasks run after %s, want at most %s", took, limit)
	}
}

// waitingTasks counts the tasks of the unfinished jobs that neither run nor are done.
func (c *cluster) waitingTasks(jobs []job.ID) int {
	n := 0
	for _, id := range jobs {
		record := c.accepted[id]
		if record == nil {
			continue
		}
		for step, s := range record.Spec.Steps {
			for index := range s.Count {
				if truth := c.task(job.TaskKey{Job: id, Step: step, Index: index}); !truth.done && len(truth.running) == 0 {
					n++
				}
			}
		}
	}
	return n
}

// TestWorkersLostTogetherAreOneEventToTheLast guards against the last workers of a mass
// crash that count as crashed by their tasks, because the attempts on the others were
// declared lost just before.
func TestWorkersLostTogetherAreOneEventToTheLast(t *testing.T) {
	c := newCluster(t, 1, massCrashFleet)
	c.keepNotes = true
	jobs := c.submitMassCrashJobs()
	c.run(time.Second)
	c.crashTogether(0, 15, 3*time.Second)
	c.run(5 * time.Second)
	c.notes = nil
	c.crashTogether(15, massCrashFleet, time.Minute)
	c.checkAllRunWithin(jobs, 10*time.Second)
	counted := 0
	for _, n := range c.notes {
		if n.Decision != joblog.MessageCrashCounted {
			continue
		}
		counted++
		if !strings.HasSuffix(n.Reason, "as other workers ended too") {
			t.Errorf("%s: %s; want it counted as one of several workers that ended", n.Task, n.Reason)
		}
	}
	if counted == 0 {
		t.Error("no crash is counted")
	}
}

// TestStepOnAllLostWorkersIsClearedByOneTrial guards against a step with a task on each
// of the workers that crash together, all of whose tasks are tried one after the other.
func TestStepOnAllLostWorkersIsClearedByOneTrial(t *testing.T) {
	for name, lead := range map[string]func(*cluster){"one leader": func(*cluster) {}, "leader lost": (*cluster).replaceLeader} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, massCrashFleet)
			c.run(200 * time.Millisecond)
			everywhere := longRunning(massCrashFleet, 1000)
			everywhere.MaxPerWorker = 2
			jobs := []job.ID{c.submit(1, "urgent", everywhere)}
			c.run(time.Second)
			// The tasks that restart are on the other workers when these end.
			c.crashTogether(0, 15, 3*time.Second)
			c.run(5 * time.Second)
			c.crashTogether(15, massCrashFleet, time.Minute)
			c.run(2500 * time.Millisecond)
			lead(c)
			oneTrial := stableRunTime + reportDelay
			c.checkAllRunWithin(jobs, c.machine.earlierLeasesEnd().Sub(c.machine.recoveredAt)+oneTrial+time.Second)
		})
	}
}

// TestServicesOutliveMassCrashesFarApart guards against services that are given up after
// some mass crashes, though they ran for long before each, because the leader that saw
// them run was lost.
func TestServicesOutliveMassCrashesFarApart(t *testing.T) {
	c := newCluster(t, 1, massCrashFleet)
	c.keepFinalJobs()
	jobs := c.submitMassCrashJobs()
	for range 5 {
		c.run(30 * time.Second)
		c.crashTogether(0, len(c.workers), 4*time.Second)
		c.run(2500 * time.Millisecond)
		c.replaceLeader()
		c.run(10 * time.Second)
	}
	for _, id := range jobs {
		if s := c.state(id); s == job.Failed {
			t.Errorf("job %s has failed, but none of its tasks crashes workers", id)
		}
	}
}

// TestTasksOfWorkersThatWereCutOffRunAgainAtOnce guards against long-running tasks that wait
// for seconds to be tried alone, with room for them, because workers that crashed together
// were cut off soon after and each cut went on to count as a crash.
func TestTasksOfWorkersThatWereCutOffRunAgainAtOnce(t *testing.T) {
	const cutOff, allowed = massCrashFleet / 2, 2400 * time.Millisecond
	c := newCluster(t, 1, massCrashFleet)
	c.keepIDs = true
	c.run(200 * time.Millisecond)
	var jobs []job.ID
	for i := range massCrashFleet {
		// They need three quarters of the room.
		jobs = append(jobs, c.submit(1+i, "urgent", longRunning(3, 3500)))
	}
	c.run(time.Second)
	for range 2 {
		c.crashTogether(0, cutOff, 600*time.Millisecond)
		c.run(2600 * time.Millisecond)
		c.setPartitioned(cutOff, true)
		c.run(9 * time.Second)
		c.setPartitioned(cutOff, false)
		c.run(allowed)
		if n := c.waitingTasks(jobs); n > 0 {
			t.Errorf("%d tasks do not run %s after all workers answer again", n, allowed)
		}
	}
}

// setPartitioned cuts the first n workers off, or ends that.
func (c *cluster) setPartitioned(n int, partitioned bool) {
	for _, id := range c.workerIDs()[:n] {
		c.workers[id].partitioned = partitioned
	}
}
