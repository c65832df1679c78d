package jobsched

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/crashes"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

// TestCrashesAreNoted checks that the crash of a worker and the crash counted for
// each attempt are noted, with the run time of the attempt.
func TestCrashesAreNoted(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.keepNotes = true
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(1, 2000))
	c.run(2 * time.Second)
	c.restart(c.workers[c.firstWorkerOf(id)])
	c.run(3 * time.Second)
	var reasons []string
	for _, n := range c.notes {
		if n.Decision == joblog.MessageWorkerCrashed || n.Decision == joblog.MessageCrashCounted {
			reasons = append(reasons, n.Reason)
		}
	}
	if len(reasons) != 2 {
		t.Fatalf("%d notes, want one for the worker and one for the attempt: %q", len(reasons), reasons)
	}
	for _, line := range reasons {
		if !strings.Contains(line, "for 1.") && !strings.Contains(line, "for 2") {
			t.Errorf("%q does not contain the run time of the attempt", line)
		}
	}
}

// TestCrashOfAWorkerNeverHeardIsNoted guards against a note with a meaningless time
// when the leader that sees the crash has never heard the worker.
func TestCrashOfAWorkerNeverHeardIsNoted(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.keepNotes, c.earlierVersion = true, true
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(1, 2000))
	c.run(2 * time.Second)
	c.restartTime = 4 * time.Second
	c.restart(c.workers[c.firstWorkerOf(id)])
	c.run(2500 * time.Millisecond)
	c.replaceLeader()
	c.run(3 * time.Second)
	if !c.hasNote(joblog.MessageWorkerCrashed, "never heard by this leader") {
		t.Errorf("no note of the crash says that the worker was never heard: %v", c.notes)
	}
}

// TestReportDelayCoversARenewal guards against run times that are compared more exactly
// than reports tell them.
func TestReportDelayCoversARenewal(t *testing.T) {
	if reportDelay <= renewWait {
		t.Errorf("reports come within %s, and an answer may take %s", reportDelay, renewWait)
	}
}

// crashDelays are the times from a task's start to the crash of its worker that are
// played.
var crashDelays = []time.Duration{10 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second}

// playCrasher submits a job whose only task crashes its workers, calls disturb until
// the job is final, and checks that it fails before more than most workers have
// crashed. The cluster checks each start.
func playCrasher(t *testing.T, after time.Duration, most int, disturb func(c *cluster)) {
	t.Helper()
	c := newCluster(t, 1, 12)
	c.keepFinalJobs()
	c.run(200 * time.Millisecond)
	for i := range 6 {
		c.submit(100+i, "batch", makeStep(6, 1000, 2*time.Second))
	}
	id := c.submit(1, "batch", makeStep(1, 1000, 8*time.Second))
	c.addCrasher(id, after)
	for at := c.now; c.now.Sub(at) < time.Minute && !c.state(id).Final(); {
		disturb(c)
	}
	if s := c.state(id); s != job.Failed {
		t.Errorf("the job is %s after a minute, want failed", s)
	}
	if n := c.crashedBy(id); n > most {
		t.Errorf("%d workers have crashed, want at most %d", n, most)
	}
	c.run(20 * time.Second)
	for i := range 6 {
		bystander := job.ID(fmt.Sprintf("%016x", 100+i))
		if s := c.state(bystander); s != job.Completed {
			t.Errorf("job %s is %s in the end, want completed: none of its tasks crashes workers", bystander, s)
		}
	}
}

// TestTaskThatCrashesWorkersThatReturnLate guards against crashes that are not
// counted because the crashed workers restart only after their leases have ended:
// the attempts were declared lost, and the task was started again without end.
func TestTaskThatCrashesWorkersThatReturnLate(t *testing.T) {
	for _, after := range crashDelays {
		t.Run(after.String(), func(t *testing.T) {
			playCrasher(t, after, 5, func(c *cluster) {
				c.restartTime = 10 * time.Second
				c.run(100 * time.Millisecond)
			})
		})
	}
}

func noDisturbance(c *cluster) { c.run(100 * time.Millisecond) }

// TestTaskThatCrashesItsWorkersIsGivenUp guards against a task that crashes each
// worker that starts it and is started again without end.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, after := range crashDelays {
		t.Run(after.String(), func(t *testing.T) { playCrasher(t, after, crashes.Most, noDisturbance) })
	}
}

// TestJobIsCompletedAfterCrashesOfItsOnlyWorker guards against a job that is told as failed,
// though no run of it has failed, because the one worker that may run it has crashed some
// times at the same time after its start.
func TestJobIsCompletedAfterCrashesOfItsOnlyWorker(t *testing.T) {
	for _, after := range crashDelays {
		t.Run(after.String(), func(t *testing.T) {
			c := newCluster(t, 1, 3)
			c.keepFinalJobs()
			only := c.addWorker(3)
			only.entry.Labels = append(only.entry.Labels, "only")
			c.run(600 * time.Millisecond)
			spec := makeStep(1, 1000, 5*time.Second)
			spec.Label = "only"
			id := c.submit(1, "urgent", spec)
			c.addCrasher(id, after)
			for begun := c.now; c.crashedBy(id) < crashes.Most-1 && c.now.Sub(begun) < time.Minute; {
				c.tick()
			}
			c.crashers = make(map[job.ID]crasher)
			c.run(20 * time.Second)
			if s := c.state(id); s != job.Completed || c.crashedBy(id) != crashes.Most-1 {
				t.Errorf("the job is %s after %d crashes, want completed after %d: %s", s, c.crashedBy(id), crashes.Most-1, c.describe(id))
			}
		})
	}
}

// TestCrashesCountOverLeaders guards against crashes that are forgotten because they
// were not stored when the leader was lost, handed the lead over or could not reach
// the store.
func TestCrashesCountOverLeaders(t *testing.T) {
	disturbances := map[string]func(c *cluster){
		"lost each second":                  func(c *cluster) { c.run(time.Second); c.replaceLeader() },
		"lost each three seconds":           func(c *cluster) { c.run(3 * time.Second); c.replaceLeader() },
		"handed over each second":           func(c *cluster) { c.run(time.Second); c.handOver() },
		"lost when the crash is noticed":    loseLeaderAtCrash,
		"store unavailable for ten seconds": func(c *cluster) { c.storeDown = true; c.run(10 * time.Second); c.restoreStore(); c.run(time.Second) },
		"all daemons lost, twice": func(c *cluster) {
			c.run(2 * time.Second)
			c.replaceLeader()
			c.run(20 * time.Millisecond)
			c.replaceLeader()
		},
		"responses lost, orders late": func(c *cluster) { c.loseAnswers, c.delayOrders = 0.1, 0.1; c.run(time.Second) },
		"lost while the store is unavailable": func(c *cluster) {
			c.storeDown = true
			c.run(2 * time.Second)
			c.storeDown = false
			c.replaceLeader()
			c.run(2 * time.Second)
		},
	}
	for name, disturb := range disturbances {
		for _, after := range crashDelays {
			t.Run(name+"/"+after.String(), func(t *testing.T) { playCrasher(t, after, 5, disturb) })
		}
	}
}

// loseLeaderAtCrash replaces the leader when a worker has restarted after a crash
// and the first response of the new incarnation is in flight.
func loseLeaderAtCrash(c *cluster) {
	restarts := c.restarts
	for i := 0; c.restarts == restarts && i < 2000; i++ {
		c.tick()
	}
	c.run(2 * orderDelay)
	c.replaceLeader()
}

// keepFinalJobs keeps the states of final jobs for longer than any test takes.
func (c *cluster) keepFinalJobs() {
	c.options.KeepFinal = time.Hour
	c.replaceLeader()
}

// TestManyCrashingTasksLeaveTheFleetStanding guards against a step of many tasks
// that all crash their workers and take the whole fleet down repeatedly, with the
// work of all other callers.
func TestManyCrashingTasksLeaveTheFleetStanding(t *testing.T) {
	const workers, crashing, bystanders = 40, 20, 30
	c := newCluster(t, 1, workers)
	c.keepFinalJobs()
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(crashing, 1000, time.Second))
	c.addCrasher(id, 10*time.Millisecond)
	for i := range bystanders {
		c.submit(100+i, "batch", makeStep(6, 1500, 2*time.Second))
	}
	at := c.now
	for c.now.Sub(at) < time.Minute && !c.state(id).Final() {
		c.run(100 * time.Millisecond)
	}
	if s, took := c.state(id), c.now.Sub(at); s != job.Failed || took > 20*time.Second {
		t.Errorf("the job is %s after %s, want failed within 20 s", s, took)
	}
	// Each of its tasks may be started once before anything is known about it.
	if n := c.crashedBy(id); n > crashing+6 {
		t.Errorf("%d workers have crashed, want at most %d", n, crashing+6)
	}
	c.run(30 * time.Second)
	for i := range bystanders {
		bystander := job.ID(fmt.Sprintf("%016x", 100+i))
		if s := c.state(bystander); s != job.Completed {
			t.Errorf("job %s is %s in the end, want completed: none of its tasks crashes workers", bystander, s)
		}
	}
}

// massCrashSeeds are the seeds of the days on which workers crash for reasons of their
// own.
var massCrashSeeds = []uint64{0, 1, 2, 3, 4, 5, 17, 19, 24}

// TestBystandersOfMassCrashesAreNotGivenUp checks that no job fails, with short or
// long-running tasks, because its tasks were running on two or three workers that
// crashed for reasons of their own. A quarter of the workers crash repeatedly.
func TestBystandersOfMassCrashesAreNotGivenUp(t *testing.T) {
	for _, seed := range massCrashSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newCluster(t, seed, 24)
			c.keepFinalJobs()
			c.run(200 * time.Millisecond)
			ids := c.massCrashes(rand.New(rand.NewPCG(seed, 5)))
			c.run(40 * time.Second)
			for _, id := range ids {
				if s := c.state(id); s == job.Failed {
					t.Errorf("job %s has failed, but none of its tasks crashes workers", id)
				}
			}
		})
	}
}

// massCrashes plays two minutes of jobs, crashes six workers at once every seven
// seconds, and returns the jobs.
func (c *cluster) massCrashes(rnd *rand.Rand) []job.ID {
	ids := []job.ID{c.submit(1, "urgent", longRunning(24, 1000))}
	for i := range 240 {
		ids = append(ids, c.randomJob(rnd, 100+i))
		c.run(500 * time.Millisecond)
		if i%14 != 13 {
			continue
		}
		for range 6 {
			if w := c.workers[c.workerIDs()[rnd.IntN(len(c.workers))]]; !w.dead {
				c.restart(w)
			}
		}
	}
	return ids
}

// TestLongRunningJobIsNotGivenUp guards against a long-running job that is told as failed
// because workers crashed under one of its tasks, and against a task that crashes one
// worker after the other without a pause.
func TestLongRunningJobIsNotGivenUp(t *testing.T) {
	c := newCluster(t, 1, 24)
	c.keepFinalJobs()
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(2, 1000))
	c.addCrasher(id, 10*time.Millisecond, 1)
	// The checks of tasks that crash their workers are made for those that are given up.
	key := job.TaskKey{Job: id, Index: 1}
	c.task(key).startsAfterLimit = furtherStarts
	const minutes = 2
	c.run(minutes * time.Minute)
	if s := c.state(id); s == job.Failed {
		t.Errorf("the job is told as failed: %s", c.describe(id))
	}
	if n := c.runningOf(id); n == 0 {
		t.Error("the other task does not run")
	}
	crashed, most := c.task(key).crashed, crashes.Most+int(minutes*time.Minute/crashPause)+1
	if crashed <= crashes.Most || crashed > most {
		t.Errorf("%d workers crashed under the task, want more than %d and at most %d", crashed, crashes.Most, most)
	}
	c.crashers = make(map[job.ID]crasher)
	c.run(crashPause + 5*time.Second)
	if n := c.runningOf(id); n != 2 {
		t.Errorf("%d tasks run once none crashes its worker, want 2", n)
	}
}

// TestLongRunningTaskRunsSoonAfterItsWorkerIsWell guards against a long-running task that
// waits for seconds beside the one worker that may run it, which has crashed some times
// and is well again.
func TestLongRunningTaskRunsSoonAfterItsWorkerIsWell(t *testing.T) {
	for _, down := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		t.Run(down.String(), func(t *testing.T) {
			c := newCluster(t, 1, 3)
			c.restartTime = down
			only := c.addWorker(3)
			only.entry.Labels = append(only.entry.Labels, "only")
			c.run(600 * time.Millisecond)
			spec := longRunning(1, 1000)
			spec.Label = "only"
			id := c.submit(1, "urgent", spec)
			c.run(2 * time.Second)
			for range 2 * crashes.Most {
				crashedAt := c.now
				c.restart(c.workers[c.firstWorkerOf(id)])
				for c.runningOf(id) == 0 && c.now.Sub(crashedAt) < 30*time.Second {
					c.tick()
				}
				// A worker that is back later than a task has to run again is waited for.
				if took, most := c.now.Sub(crashedAt), max(maxLongRunningGap, down+3*time.Second); took > most {
					t.Errorf("the task runs again %s after its last run, want %s", took, most)
				}
				c.run(2 * time.Second)
			}
		})
	}
}

// TestKnownEndsAreNotMissedCrashes guards against a job that is told as failed after three
// crashes, because the preemption before them is taken for a crash that may be missing.
func TestKnownEndsAreNotMissedCrashes(t *testing.T) {
	c := newCluster(t, 1, 6)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(1, 1000, 5*time.Second))
	for _, crashes := range []bool{false, true, true, false, true} {
		c.runUntilStarted(id)
		c.run(time.Second)
		if crashes {
			c.restart(c.workers[c.firstWorkerOf(id)])
			continue
		}
		a := c.machine.task(job.TaskKey{Job: id}).attempts[0]
		c.machine.requestStop(a, stopPreempted, "")
		c.run(time.Second)
	}
	c.run(20 * time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("the job is %s after three crashes, want completed: %s", s, c.describe(id))
	}
}

// runUntilStarted runs until a task of the job is at work, for a minute at the most.
func (c *cluster) runUntilStarted(id job.ID) {
	for begun := c.now; c.runningOf(id) == 0 && c.now.Sub(begun) < time.Minute; {
		c.tick()
	}
}

// TestCrashIsWithdrawnWhenItsWorkerAnswers guards against jobs that are told as failed because
// of crashes that were counted when workers fell silent, though these answer again.
func TestCrashIsWithdrawnWhenItsWorkerAnswers(t *testing.T) {
	c := newCluster(t, 1, 6)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(1, 1000, 30*time.Second))
	suspect := func() *task { return c.machine.task(job.TaskKey{Job: id}) }
	c.runUntilStarted(id)
	c.run(time.Second)
	c.restart(c.workers[c.firstWorkerOf(id)])
	c.run(20 * time.Millisecond)
	for range crashes.Most {
		c.runUntilStarted(id)
		c.run(time.Second)
		silent := c.workers[c.firstWorkerOf(id)]
		silent.partitioned = true
		for lost := suspect().attempts[0]; len(suspect().attempts) > 0 && suspect().attempts[0] == lost; {
			c.tick()
		}
		if n := len(suspect().crashes); n != 2 {
			t.Fatalf("%d crashes count while the worker is silent, want 2: %s", n, suspect().crashes)
		}
		silent.partitioned = false
		c.run(2 * time.Second)
		if n := len(suspect().crashes); n != 1 {
			t.Fatalf("%d crashes count once the worker has answered, want 1: %s", n, suspect().crashes)
		}
	}
}
