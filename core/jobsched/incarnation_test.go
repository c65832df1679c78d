package jobsched

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workerentry"
)

// TestEndsOfAWorkerThatStartedAgain guards against ends that are skipped because a
// worker that has restarted under the same id numbers them from 1: done tasks were
// started again, and failures did not count.
func TestEndsOfAWorkerThatStartedAgain(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.keepIDs = true
	c.run(200 * time.Millisecond)
	c.submit(1, "urgent", makeStep(60, 2000, 200*time.Millisecond))
	c.run(3 * time.Second)
	c.restart(c.workers["w000"])
	c.restart(c.workers["w001"])
	c.run(2500 * time.Millisecond)
	done := c.submit(2, "urgent", makeStep(20, 2000, 200*time.Millisecond))
	for _, w := range c.workers {
		c.after(3*time.Second, func() { w.failAll = true })
	}
	c.run(3 * time.Second)
	failed := c.submit(3, "urgent", makeStep(1, 2000, 200*time.Millisecond))
	c.run(30 * time.Second)
	for id, want := range map[job.ID]job.State{done: job.Completed, failed: job.Failed} {
		if s := c.state(id); s != want {
			t.Errorf("job %s is %s, want %s", id, s, want)
		}
	}
}

// TestTasksThatCrashWorkersWhichKeepTheirIDs guards against crashing tasks that are
// started again without end because each crashed worker restarts under the same id.
func TestTasksThatCrashWorkersWhichKeepTheirIDs(t *testing.T) {
	for _, after := range crashDelays {
		t.Run(after.String(), func(t *testing.T) {
			playCrasher(t, after, 5, func(c *cluster) {
				c.keepIDs = true
				c.run(100 * time.Millisecond)
			})
		})
	}
}

// TestCrashesOfWorkersWhichKeepTheirIDsCountOverLeaders guards against the same
// while leaders are lost.
func TestCrashesOfWorkersWhichKeepTheirIDsCountOverLeaders(t *testing.T) {
	for _, after := range crashDelays {
		t.Run(after.String(), func(t *testing.T) {
			playCrasher(t, after, 5, func(c *cluster) {
				c.keepIDs = true
				c.run(time.Second)
				c.replaceLeader()
			})
		})
	}
}

// TestStartThatReachesTheNextIncarnation guards against a start that is in flight
// when its worker ends and is executed by the next incarnation while the task runs
// elsewhere, or counts as a crash of the one that has ended. On the seeds named first
// such counts failed a job under which a single worker had crashed.
func TestStartThatReachesTheNextIncarnation(t *testing.T) {
	seeds := []uint64{92, 149, 225, 265}
	for seed := range uint64(20) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newCluster(t, seed, 6)
			c.keepIDs, c.restartTime = true, 300*time.Millisecond
			c.run(200 * time.Millisecond)
			c.delayOrders = 0.3
			var ids []job.ID
			for i := range 12 {
				ids = append(ids, c.submit(i+1, "urgent", makeStep(6, 1500, 1500*time.Millisecond)))
				c.restart(c.workers[c.workerIDs()[i%6]])
				c.run(700 * time.Millisecond)
			}
			c.delayOrders = 0
			c.run(30 * time.Second)
			for _, id := range ids {
				// Workers crash so often here that a job may fail because of it.
				if s := c.state(id); s != job.Completed && (s != job.Failed || !c.crashedTwice(id)) {
					t.Errorf("job %s is %s in the end, want completed", id, s)
				}
			}
		})
	}
}

// restartStream is the stream of random numbers for restarts under the same id.
const restartStream = 8

var (
	restartDays = flag.Int("restart-days", 40, "the number of days that TestNothingRunsTwiceOnRestartedWorkers plays")
	restartFrom = flag.Uint64("restart-from", 0, "the first seed of TestNothingRunsTwiceOnRestartedWorkers")
)

// TestNothingRunsTwiceOnRestartedWorkers guards against any other fault caused by
// workers that restart under the same id. It plays the days of
// TestNothingRunsTwiceUnderFaults with such restarts: at once or after a while,
// while workers are partitioned, and while leaders change.
func TestNothingRunsTwiceOnRestartedWorkers(t *testing.T) {
	for day := range uint64(*restartDays) {
		seed := *restartFrom + day
		playFaults(t, seed, func(c *cluster) {
			c.keepIDs = true
			c.checkRounds = true
			c.restarting = rand.New(rand.NewPCG(seed, restartStream))
			if seed%3 == 1 {
				c.planned = rand.New(rand.NewPCG(seed, plannedStream))
			}
		})
	}
}

// restartAtRandom restarts some workers at random, or does nothing.
func (c *cluster) restartAtRandom() {
	if c.restarting.IntN(4) > 0 {
		return
	}
	for range 1 + c.restarting.IntN(3) {
		w := c.workers[c.workerIDs()[c.restarting.IntN(len(c.workers))]]
		if w.dead {
			continue
		}
		c.restartTime = time.Duration(20+c.restarting.IntN(3000)) * time.Millisecond
		c.restart(w)
	}
}

// attemptsOn counts the current attempts of a job on a worker.
func (c *cluster) attemptsOn(w *fakeWorker, id job.ID) int {
	n := 0
	for key := range w.attempts {
		if key.task.Job == id {
			n++
		}
	}
	return n
}

// TestEntriesWithAnotherStart guards against damaged entries of a healthy worker
// that omit its start time or have a different one: the worker must get no new tasks
// because of them and lose none of its running ones.
func TestEntriesWithAnotherStart(t *testing.T) {
	for name, startedMs := range map[string]int64{"left out": 0, "later": 1 << 50, "earlier": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 2)
			c.run(500 * time.Millisecond)
			before := c.submit(1, "urgent", makeStep(8, 1000, 6*time.Second))
			c.run(2 * time.Second)
			w := c.workers["w000"]
			had := c.attemptsOn(w, before)
			damaged := w.entry
			damaged.StartedMs = startedMs
			w.listedEntry = &damaged
			c.run(time.Second)
			meanwhile := c.submit(2, "urgent", makeStep(8, 1000, 20*time.Second))
			c.run(2 * time.Second)
			if n := c.attemptsOn(w, before); n != had || had == 0 {
				t.Errorf("of %d running tasks, %d are still running, want all and at least 1", had, n)
			}
			if n := c.attemptsOn(w, meanwhile); n != 0 {
				t.Errorf("%d tasks were started on a worker with a damaged entry, want 0", n)
			}
			w.listedEntry = nil
			c.run(time.Second)
			after := c.submit(3, "urgent", makeStep(12, 1000, 20*time.Second))
			c.run(2 * time.Second)
			if c.attemptsOn(w, after) == 0 {
				t.Error("no task is started on the worker once its entry is repaired")
			}
			c.run(25 * time.Second)
			for _, id := range []job.ID{before, meanwhile, after} {
				if s := c.state(id); s != job.Completed {
					t.Errorf("job %s is %s", id, s)
				}
			}
		})
	}
}

// TestEntryWithoutItsStartIsUnusable guards against entries without a start time
// that are shown as sound to operators and added to the roster, where workers report
// their start times.
func TestEntryWithoutItsStartIsUnusable(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(time.Second)
	w := c.workers["w000"]
	damaged := w.entry
	damaged.StartedMs = 0
	w.listedEntry = &damaged
	stranger := damaged
	stranger.ID = "stranger"
	c.workers["stranger"] = &fakeWorker{c: c, entry: stranger, listed: true, dead: true}
	c.run(time.Second)
	if n := c.machine.TakeEntryCounts().Unusable[workerentry.NoStartTime]; n != 2 {
		t.Errorf("%d entries are unusable because they have no start time, want 2", n)
	}
	for _, e := range c.roster {
		if e.StartedMs == 0 {
			t.Errorf("%s is on the roster without a start time", e.ID)
		}
	}
}

// TestNothingRunsTwiceOnWorkersThatNeverSayWhenTheyStarted guards against workers
// that get no tasks because none of them reports its start time.
func TestNothingRunsTwiceOnWorkersThatNeverSayWhenTheyStarted(t *testing.T) {
	const days = 10
	for seed := range uint64(days) {
		playFaults(t, seed, func(c *cluster) {
			c.omitStartTimes = true
			for _, w := range c.workers {
				w.entry.StartedMs = 0
			}
			c.replaceLeader()
			c.checkRounds = true
		})
	}
}

// TestStartThatTheNextIncarnationCarriesOut guards against a task that is started
// again although the next incarnation has executed its start and reports it: the
// leader had not yet noticed that the worker had restarted.
func TestStartThatTheNextIncarnationCarriesOut(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.keepIDs, c.keepNotes, c.restartTime = true, true, 20*time.Millisecond
	c.run(time.Second)
	for _, id := range c.workerIDs() {
		c.workers[id].clockAhead = otherClock / 2
	}
	c.run(2100 * time.Millisecond)
	for _, id := range c.workerIDs() {
		c.restart(c.workers[id])
	}
	c.run(40 * time.Millisecond)
	const tasks = 8
	id := c.submit(1, "urgent", makeStep(tasks, 1000, 1500*time.Millisecond))
	c.run(5 * time.Second)
	if s := c.state(id); s != job.Completed || c.starts != tasks {
		t.Errorf("job is %s after %d starts, want %d", s, c.starts, tasks)
	}
	for _, n := range c.notes {
		if n.Decision == joblog.MessageCrashCounted {
			t.Errorf("%s: %s", n.Task, n.Reason)
		}
	}
}

// TestLateReportOfAnIncarnationThatHasEnded guards against a late report of an
// incarnation that has ended: the attempts in it are no longer running.
func TestLateReportOfAnIncarnationThatHasEnded(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.keepIDs, c.restartTime = true, 20*time.Millisecond
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(4, 1000))
	c.run(time.Second)
	w := c.workers["w000"]
	late := Renewed{Worker: w.entry.Incarnation, SentAt: c.now, Verdict: VerdictDone, Report: w.renew(Renew{})}
	c.restart(w)
	c.run(400 * time.Millisecond)
	c.machine.Handle(c.now, late)
	c.run(2 * time.Second)
	if n := len(c.workers["w000"].attempts); n != 4 {
		t.Errorf("%d tasks of job %s run, want 4", n, id)
	}
}

// TestNothingRunsTwiceWithRostersOfAnEarlierVersion guards against tasks that run
// twice or never after an upgrade: a roster written by the previous version
// identifies workers by their ids alone, and some of them have restarted since.
func TestNothingRunsTwiceWithRostersOfAnEarlierVersion(t *testing.T) {
	const days = 20
	for seed := range uint64(days) {
		playFaults(t, seed, func(c *cluster) {
			c.keepIDs, c.earlierVersion = true, true
			c.checkRounds = true
			c.restarting = rand.New(rand.NewPCG(seed, restartStream))
			c.planned = rand.New(rand.NewPCG(seed, plannedStream))
		})
	}
}

// TestRestartSeedsThatOnceFailed plays seeds of such days that found a fault.
func TestRestartSeedsThatOnceFailed(t *testing.T) {
	seeds := []uint64{
		// Two incarnations of a worker had sessions, and tasks were started on both,
		// more than there was room for.
		1356,
	}
	for _, seed := range seeds {
		playFaults(t, seed, func(c *cluster) {
			c.keepIDs, c.checkRounds = true, true
			c.restarting = rand.New(rand.NewPCG(seed, restartStream))
		})
	}
}

// TestNextIncarnationHoldsTheStartsOfItsPredecessor guards against a task that runs twice at
// a time: an earlier leader's start has reached the next incarnation of its worker, which this
// leader has not heard yet.
func TestNextIncarnationHoldsTheStartsOfItsPredecessor(t *testing.T) {
	entry := func(startedMs int64) WorkerEntry {
		return WorkerEntry{
			Incarnation: model.Incarnation{ID: "w", StartedMs: startedMs}, Service: "pool", Address: "a:1",
			Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 64000},
		}
	}
	const id = job.ID("0000000000000001")
	record := &job.Accepted{Spec: *memorySpec(1, 1), Queue: job.Queue{Name: "q", Service: "pool", MaxAttempts: 3}}
	m := New(testEpoch, 2, Options{Lease: time.Second, LeaderTTL: time.Second}, Recovered{
		Accepted: map[job.ID]*job.Accepted{id: record}, Roster: []RosterEntry{{WorkerEntry: entry(1)}},
	})
	m.commit.stored = true
	now := testEpoch.Add(100 * time.Millisecond)
	m.Handle(now, WorkersListed{Workers: []WorkerEntry{entry(2)}, RequestedAt: now})
	previous, next := m.worker(entry(1).Incarnation), m.worker(entry(2).Incarnation)
	previous.renewing, next.renewing = true, true
	report := func(to *worker) Renewed {
		return Renewed{Worker: to.id, SentAt: now, Verdict: VerdictDone, Report: Report{ClockMs: 1000, StartedMs: next.id.StartedMs}}
	}
	j := m.jobs.Get(id)
	m.Handle(now.Add(10*time.Millisecond), report(previous))
	if !m.startsHeld(j) {
		t.Error("starts are not held, though the worker may run any of them")
	}
	m.Handle(now.Add(20*time.Millisecond), report(next))
	if m.startsHeld(j) {
		t.Error("starts are held, though the worker has told what it runs")
	}
}

// TestStartAnsweredByTheNextIncarnation guards against a task that runs twice at a time: the
// next incarnation of its worker has carried out and answered its start, with the longest
// lease, and is cut off before any report tells of it.
func TestStartAnsweredByTheNextIncarnation(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.keepIDs, c.options.MaxLease = true, maxLease
	c.replaceLeader()
	w := c.workers["w000"]
	// The clock of the next one is behind.
	w.clockAhead = otherClock
	c.run(300 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(1, 1000))
	for c.starts == 0 {
		c.tick()
	}
	w.crash()
	c.restartUnderSameID(w)
	c.run(20 * time.Millisecond)
	next := c.workers["w000"]
	if len(next.attempts) != 1 {
		t.Fatalf("the next incarnation runs %d attempts, want 1", len(next.attempts))
	}
	next.partitioned = true
	c.addWorker(1)
	c.run(maxLease + 2*time.Second)
	if n := len(c.workers["w001"].attempts); n != 1 {
		t.Errorf("%d tasks of job %s run on the other worker after the lease, want 1", n, id)
	}
}

// TestTakeoverKeepsTheBoundOfTheNextIncarnation guards against a task that runs twice at a
// time after a takeover: the roster has two incarnations of a worker, and the later one may
// have been granted the longest lease.
func TestTakeoverKeepsTheBoundOfTheNextIncarnation(t *testing.T) {
	entry := func(startedMs int64) RosterEntry {
		return RosterEntry{WorkerEntry: WorkerEntry{
			Incarnation: model.Incarnation{ID: "w", StartedMs: startedMs}, Service: "pool", Address: "a:1",
			Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 64000},
		}}
	}
	options := testOptions()
	options.MaxLease = 10 * time.Second
	m := New(testEpoch, 2, options, Recovered{Roster: []RosterEntry{entry(1), entry(2)}})
	earliest := testEpoch.Add(options.LeaderTTL + options.MaxLease)
	if bound := m.worker(model.Incarnation{ID: "w", StartedMs: 2}).leaseBound; bound.Before(earliest) {
		t.Errorf("leases end %s after the takeover, want at least %s", bound.Sub(testEpoch), earliest.Sub(testEpoch))
	}
}
