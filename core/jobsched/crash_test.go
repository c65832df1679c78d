package jobsched

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

// A worker that crashed left no line that says so, and its attempts none that
// tells how long they had run.
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
		t.Fatalf("%d lines, want one of the worker and one of the attempt: %q", len(reasons), reasons)
	}
	for _, line := range reasons {
		if !strings.Contains(line, "for 1.") && !strings.Contains(line, "for 2") {
			t.Errorf("%q does not tell how long the attempt ran", line)
		}
	}
}

// crashDelays are the times from its start to the crash of the task's worker that
// are played.
var crashDelays = []time.Duration{10 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second}

// playCrasher hands in a job whose only task crashes its workers, has disturb
// called until the job is given up, and holds that against the number of workers
// that may have crashed by then. The cluster checks each start.
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
		t.Errorf("%d workers have crashed, want %d at most", n, most)
	}
	c.run(20 * time.Second)
	for i := range 6 {
		bystander := job.ID(fmt.Sprintf("%016x", 100+i))
		if s := c.state(bystander); s != job.Completed {
			t.Errorf("job %s is %s in the end, want completed: it crashes nothing", bystander, s)
		}
	}
}

// Workers that a task had crashed came back only when their leases had ended, so
// that the task was given up as unheard of, and started again without end.
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

// A task that crashes each worker that starts it was started again without end.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, after := range crashDelays {
		t.Run(after.String(), func(t *testing.T) { playCrasher(t, after, 3, noDisturbance) })
	}
}

// Leaders were lost, handed the lead over, or were without the store, while a task
// crashed its workers; the crashes that were not stored counted for nothing.
func TestCrashesCountOverLeaders(t *testing.T) {
	disturbances := map[string]func(c *cluster){
		"lost each second":           func(c *cluster) { c.run(time.Second); c.replaceLeader() },
		"lost each three seconds":    func(c *cluster) { c.run(3 * time.Second); c.replaceLeader() },
		"handed over each second":    func(c *cluster) { c.run(time.Second); c.handOver() },
		"lost as the crash is seen":  loseLeaderAtCrash,
		"store away for ten seconds": func(c *cluster) { c.storeDown = true; c.run(10 * time.Second); c.restoreStore(); c.run(time.Second) },
		"all daemons lost, twice": func(c *cluster) {
			c.run(2 * time.Second)
			c.replaceLeader()
			c.run(20 * time.Millisecond)
			c.replaceLeader()
		},
		"answers lost, orders late": func(c *cluster) { c.loseAnswers, c.delayOrders = 0.1, 0.1; c.run(time.Second) },
		"lost while the store is away": func(c *cluster) {
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

// loseLeaderAtCrash loses the leader when a worker has come back from a crash, at
// the moment when the first answer of its next incarnation is on its way.
func loseLeaderAtCrash(c *cluster) {
	restarts := c.restarts
	for i := 0; c.restarts == restarts && i < 2000; i++ {
		c.tick()
	}
	c.run(2 * orderDelay)
	c.replaceLeader()
}

// keepFinalJobs keeps the states of jobs that are over for longer than any test lasts.
func (c *cluster) keepFinalJobs() {
	c.options.KeepFinal = time.Hour
	c.replaceLeader()
}

// A step of many tasks that all crash their workers took the fleet down over and
// over, with the work of all other callers.
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
	// Each of its tasks may begin once before anything is known of it.
	if n := c.crashedBy(id); n > crashing+6 {
		t.Errorf("%d workers have crashed, want %d at most", n, crashing+6)
	}
	c.run(30 * time.Second)
	for i := range bystanders {
		bystander := job.ID(fmt.Sprintf("%016x", 100+i))
		if s := c.state(bystander); s != job.Completed {
			t.Errorf("job %s is %s in the end, want completed: it crashes nothing", bystander, s)
		}
	}
}

// massCrashDays are the seeds of days on which workers crash for reasons of their own.
const massCrashDays = 6

// A quarter of the workers crashed over and over, for reasons of their own; tasks
// that were there two or three times must not be given up for it, short ones and
// those that run for long.
func TestBystandersOfMassCrashesAreNotGivenUp(t *testing.T) {
	for seed := range uint64(massCrashDays) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newCluster(t, seed, 24)
			c.keepFinalJobs()
			c.run(200 * time.Millisecond)
			ids := c.massCrashes(rand.New(rand.NewPCG(seed, 5)))
			c.run(40 * time.Second)
			for _, id := range ids {
				if s := c.state(id); s == job.Failed {
					t.Errorf("job %s is given up, and crashes nothing", id)
				}
			}
		})
	}
}

// massCrashes plays two minutes of jobs, and crashes six workers at once every
// seven seconds. It returns the jobs.
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
