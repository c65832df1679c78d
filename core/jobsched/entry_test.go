package jobsched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workerentry"
)

// unnamedService is a service that is not in the configuration of a cluster.
const unnamedService = "elsewhere"

// add adds an entry with a fault, in the form that the platform's list yields.
func (l *WorkersListed) add(e WorkerEntry, fault workerentry.Fault) {
	switch fault {
	case workerentry.Valid:
		l.Workers = append(l.Workers, e)
	case workerentry.UnnamedService:
		e.Service = unnamedService
		l.Workers = append(l.Workers, e)
	default:
		l.Unusable = append(l.Unusable, workerentry.Unusable{ID: e.ID, Fault: fault})
	}
}

// entryDamage draws damaged entries.
type entryDamage struct{ rnd *rand.Rand }

func (d *entryDamage) randomFault() workerentry.Fault {
	faults := workerentry.Faults()
	return faults[d.rnd.IntN(len(faults))]
}

// addUnknownWorkers adds damaged entries of workers that never existed.
func (d *entryDamage) addUnknownWorkers(l *WorkersListed) {
	for i := range 5 {
		if d.rnd.IntN(3) == 0 {
			continue
		}
		id := model.WorkerID(fmt.Sprintf("x%03d", i))
		l.add(WorkerEntry{
			Incarnation: model.Incarnation{ID: id}, Address: string(id), Rack: rackOfWorker(0), Labels: []string{"a", "r0"}, Draining: d.rnd.IntN(2) == 0,
			Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 64000},
		}, d.randomFault())
	}
}

// isEntryNote reports whether a note concerns only an entry.
func isEntryNote(n Note) bool {
	return slices.Contains([]string{
		joblog.MessageEntryUnusable, joblog.MessageEntryRepaired, joblog.MessageEntryGone,
	}, n.Decision)
}

// entryNotes returns the notes on entries since the last call.
func (c *cluster) entryNotes() []string {
	var lines []string
	for _, n := range c.notes {
		if isEntryNote(n) {
			lines = append(lines, sessionLine(n))
		}
	}
	c.notes = nil
	return lines
}

// forEachFault runs a test with a fault that the decoder detects, and with one that
// depends on the configuration.
func forEachFault(t *testing.T, test func(t *testing.T, fault workerentry.Fault)) {
	for _, fault := range []workerentry.Fault{workerentry.Unreadable, workerentry.UnnamedService} {
		t.Run(fault.String(), func(t *testing.T) { test(t, fault) })
	}
}

// TestTakeoverDoesNotWaitForDamagedEntries guards against damaged entries that are
// added to the roster. If an entry of a service that is not configured has an
// address where no worker answers and is on the roster, the next leader waits for
// that worker: it started nothing for seven seconds.
func TestTakeoverDoesNotWaitForDamagedEntries(t *testing.T) {
	forEachFault(t, func(t *testing.T, fault workerentry.Fault) {
		c := newCluster(t, 1, 4)
		c.addWorker(9)
		c.workers["w009"].dead = true
		c.workers["w009"].fault = fault
		c.replaceLeader()
		c.run(time.Second)
		for _, e := range c.roster {
			if e.ID == "w009" {
				t.Error("a damaged entry is on the roster")
			}
		}
		id := c.submit(1, "urgent", longRunning(4, 2000))
		c.replaceLeader()
		c.run(time.Second)
		if n := c.runningOf(id); n != 4 {
			t.Errorf("%d tasks run a second after the takeover, want 4", n)
		}
	})
}

// TestDamagedEntryOfAKnownWorker checks that the tasks of a worker continue while
// its entry is damaged for longer than any lease, that nothing new is started there,
// and that the worker is used as before once its entry is repaired.
func TestDamagedEntryOfAKnownWorker(t *testing.T) {
	forEachFault(t, func(t *testing.T, fault workerentry.Fault) {
		c := newCluster(t, 1, 2)
		c.run(200 * time.Millisecond)
		spread := longRunning(4, 2000)
		spread.MaxPerWorker = 2
		id := c.submit(1, "urgent", spread)
		c.run(time.Second)
		w := c.workers["w000"]
		w.fault = fault
		c.run(time.Second)
		wide := c.submit(2, "urgent", longRunning(8, 2000))
		c.run(10 * time.Second)
		if n := c.runningOf(id); n != 4 || len(w.attempts) != 2 {
			t.Errorf("%d tasks run, %d of them on the damaged worker, want 4 and 2", n, len(w.attempts))
		}
		if n := c.runningOf(wide); n != 6 {
			t.Errorf("%d tasks run on the other worker, want 6", n)
		}
		w.fault = workerentry.Valid
		c.run(time.Second)
		if n := c.runningOf(wide); n != 8 {
			t.Errorf("%d tasks run once the entry is repaired, want 8", n)
		}
		if c.starts != 12 {
			t.Errorf("%d starts, want 12", c.starts)
		}
	})
}

// TestDrainingWorkerWithADamagedEntry checks that a draining worker whose entry is
// damaged afterwards gets no tasks again.
func TestDrainingWorkerWithADamagedEntry(t *testing.T) {
	forEachFault(t, func(t *testing.T, fault workerentry.Fault) {
		c := newCluster(t, 1, 2)
		c.run(200 * time.Millisecond)
		id := c.submit(1, "urgent", longRunning(2, 10000))
		c.run(time.Second)
		w := c.workers["w000"]
		w.entry.Draining = true
		c.run(time.Second)
		// The damaged entry no longer has the worker as draining.
		w.entry.Draining = false
		w.fault = fault
		c.submit(2, "urgent", longRunning(4, 1000))
		c.run(5 * time.Second)
		if len(w.attempts) != 0 {
			t.Errorf("%d tasks run on a draining worker, want 0", len(w.attempts))
		}
		if n := c.runningOf(id); n != 1 {
			t.Errorf("%d tasks run on the other worker, want 1", n)
		}
	})
}

// TestSilentWorkerWithADamagedEntry checks that a worker that crashes while its
// entry is damaged is forgotten like one without an entry, and its tasks start
// elsewhere.
func TestSilentWorkerWithADamagedEntry(t *testing.T) {
	forEachFault(t, func(t *testing.T, fault workerentry.Fault) {
		c := newCluster(t, 1, 3)
		c.run(200 * time.Millisecond)
		id := c.submit(1, "urgent", longRunning(6, 2000))
		c.run(time.Second)
		w := c.workers["w000"]
		w.fault = fault
		c.run(time.Second)
		w.crash()
		c.run(8 * time.Second)
		if n := c.runningOf(id); n != 6 {
			t.Errorf("%d tasks run, want 6", n)
		}
		if c.machine.latestIncarnation("w000") != nil {
			t.Error("a crashed worker is still known to the machine")
		}
	})
}

// TestServiceOfARemovedQueue checks that the jobs of a queue that is removed from
// the configuration together with its service still run on the workers of that
// service, whose entries stay usable for as long.
func TestServiceOfARemovedQueue(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	c.submit(1, "urgent", makeStep(1, 1000, time.Second), makeStep(1, 1000, time.Second, 0))
	c.run(500 * time.Millisecond)
	next := *c.config
	next.Version, next.Queues = 2, nil
	next.Services = map[string]*job.Service{unnamedService: {Name: unnamedService}}
	c.machine.Handle(c.now, ConfigChanged{Config: &next})
	c.run(4 * time.Second)
	if state := c.progress["0000000000000001"].State; !state.Final() {
		t.Errorf("the job of a removed queue is %s", state)
	}
}

// TestDamagedEntriesAreNotedOnce checks that an entry is noted once when it becomes
// unusable, and once when it is repaired or gone.
func TestDamagedEntriesAreNotedOnce(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.keepNotes = true
	c.run(time.Second)
	c.addWorker(9).fault = workerentry.NoLabels
	c.workers["w001"].fault = workerentry.UnnamedService
	c.run(3 * time.Second)
	want := "worker entry unusable worker=w009: no labels\nworker entry unusable worker=w001: unnamed service"
	if got := strings.Join(c.entryNotes(), "\n"); got != want {
		t.Errorf("noted:\n%s\nwant:\n%s", got, want)
	}
	c.workers["w001"].fault = workerentry.Valid
	c.workers["w009"].listed = false
	c.run(3 * time.Second)
	want = "worker entry gone worker=w009: was no labels\nworker entry good again worker=w001: was unnamed service"
	if got := strings.Join(c.entryNotes(), "\n"); got != want {
		t.Errorf("noted:\n%s\nwant:\n%s", got, want)
	}
}

// TestFloodOfDamagedEntries guards against a flood of damaged entries that fills the
// leader's log and memory because each entry is tracked and noted. A writer leaves
// ten thousand damaged entries, different ones in each list, and damages that of a
// known worker as well.
func TestFloodOfDamagedEntries(t *testing.T) {
	const flood, lists = 10000, 20
	c := newCluster(t, 1, 2)
	c.run(time.Second)
	list := func(number int) WorkersListed {
		var l WorkersListed
		for i := range flood {
			l.add(WorkerEntry{Incarnation: model.Incarnation{ID: model.WorkerID(fmt.Sprintf("x%d-%d", number, i))}}, workerentry.Unreadable)
		}
		l.add(c.workers["w000"].entry, workerentry.Valid)
		l.add(c.workers["w001"].entry, workerentry.NoLabels)
		return l
	}
	c.machine.Advance(c.now, c.wall)
	c.machine.TakeEntryCounts()
	unknownNotes, workerNotes := 0, 0
	for number := range lists {
		c.now = c.now.Add(100 * time.Millisecond)
		c.machine.Handle(c.now, list(number))
		for _, e := range c.machine.Advance(c.now, c.wall) {
			n, ok := e.(Note)
			switch {
			case !ok || !isEntryNote(n):
			case n.Worker.ID == "w001":
				workerNotes++
			default:
				unknownNotes++
			}
		}
		if n := c.machine.entries.Tracked(); n != workerentry.MaxTrackedUnknown+1 {
			t.Errorf("%d entries are tracked, want %d", n, workerentry.MaxTrackedUnknown+1)
		}
	}
	if unknownNotes != workerentry.UnknownNotesPerWindow || workerNotes != 1 {
		t.Errorf("%d notes on unknown workers and %d on a known worker, want %d and 1", unknownNotes, workerNotes, workerentry.UnknownNotesPerWindow)
	}
	counts := c.machine.TakeEntryCounts()
	if counts.Unusable[workerentry.Unreadable] != flood || counts.Unusable[workerentry.NoLabels] != 1 {
		t.Errorf("counted: %v", counts.Unusable)
	}
	if unusable, gone := counts.Changes[workerentry.BecameUnusable], counts.Changes[workerentry.Gone]; unusable != lists*workerentry.MaxTrackedUnknown+1 || gone != (lists-1)*workerentry.MaxTrackedUnknown {
		t.Errorf("%d entries became unusable and %d are gone", unusable, gone)
	}
}

// TestDecidesAsWithoutDamagedEntries plays random days under faults, once with
// entries that are missing at times, and once with damaged entries in their place
// and more of them for unknown workers. All decisions must be the same, in the same
// order and with the same reasons.
func TestDecidesAsWithoutDamagedEntries(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 10
	parameters.Rng.Seed(23)
	properties := gopter.NewProperties(parameters)
	properties.Property("decisions", prop.ForAllNoShrink(func(seed uint64) bool {
		without := decisions(t, seed, nil)
		with := decisions(t, seed, &entryDamage{rand.New(rand.NewPCG(seed, 3))})
		if slices.Equal(without, with) {
			return true
		}
		t.Logf("seed %d: %s", seed, firstDifference(without, with))
		return false
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// firstDifference describes where two lists of decisions differ first.
func firstDifference(without, with []Note) string {
	for i := range min(len(without), len(with)) {
		if without[i] != with[i] {
			return fmt.Sprintf("decision %d\nwithout: %s\nwith:    %s", i, sessionLine(without[i]), sessionLine(with[i]))
		}
	}
	return fmt.Sprintf("%d decisions without, %d with", len(without), len(with))
}

// decisions plays a day and returns the decisions.
func decisions(t *testing.T, seed uint64, d *entryDamage) []Note {
	c := newCluster(t, seed, 8)
	c.keepNotes = true
	c.damages = d
	c.loseAnswers, c.delayOrders = 0.03, 0.03
	c.faultyDay(rand.New(rand.NewPCG(seed, 2)))
	return slices.DeleteFunc(c.notes, isEntryNote)
}
