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
)

// unnamedService is a service that the configuration of a cluster lacks.
const unnamedService = "elsewhere"

// add adds an entry with a fault as the platform's list brings it.
func (l *WorkersListed) add(e WorkerEntry, fault EntryFault) {
	switch fault {
	case EntryValid:
		l.Workers = append(l.Workers, e)
	case EntryUnnamedService:
		e.Service = unnamedService
		l.Workers = append(l.Workers, e)
	default:
		l.Unusable = append(l.Unusable, UnusableEntry{ID: e.ID, Fault: fault})
	}
}

// entryDamage draws damaged entries.
type entryDamage struct{ rnd *rand.Rand }

// randomFault returns randomFault fault.
func (d *entryDamage) randomFault() EntryFault {
	faults := EntryFaults()
	return faults[d.rnd.IntN(len(faults))]
}

// addUnknownWorkers adds damaged entries that name no worker there ever was.
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

// isEntryNote reports whether a note tells of an entry and no more.
func isEntryNote(n Note) bool {
	return slices.Contains([]string{
		joblog.MessageEntryUnusable, joblog.MessageEntryRepaired, joblog.MessageEntryGone,
	}, n.Decision)
}

// entryNotes returns what was noted of entries since the last call.
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

// forEachFault runs a test with a fault that the decoder finds, and with one that
// the configuration brings about.
func forEachFault(t *testing.T, test func(t *testing.T, fault EntryFault)) {
	for _, fault := range []EntryFault{EntryUnreadable, EntryUnnamedService} {
		t.Run(fault.String(), func(t *testing.T) { test(t, fault) })
	}
}

// TestTakeoverDoesNotWaitForDamagedEntries
//
// Symptom: a leader that took over started nothing for seven seconds. Events:
// somebody leaves an entry of a service that nobody configured, with an address
// where nobody answers; a leader lists it, and the daemon that leads next asks
// there. Cause: whatever was listed came on the roster.
func TestTakeoverDoesNotWaitForDamagedEntries(t *testing.T) {
	forEachFault(t, func(t *testing.T, fault EntryFault) {
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
			t.Errorf("%d tasks run a second after the take-over, want 4", n)
		}
	})
}

// TestDamagedEntryOfAKnownWorker: the entry of a worker with running tasks is
// damaged for longer than any lease. Its tasks go on, nothing new goes there,
// and once the entry is good again it is used as before.
func TestDamagedEntryOfAKnownWorker(t *testing.T) {
	forEachFault(t, func(t *testing.T, fault EntryFault) {
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
		w.fault = EntryValid
		c.run(time.Second)
		if n := c.runningOf(wide); n != 8 {
			t.Errorf("%d tasks run once the entry is good again, want 8", n)
		}
		if c.starts != 12 {
			t.Errorf("%d starts, want 12", c.starts)
		}
	})
}

// TestDrainingWorkerWithADamagedEntry: a worker says that it leaves, and its
// entry is damaged then. It must not be used again.
func TestDrainingWorkerWithADamagedEntry(t *testing.T) {
	forEachFault(t, func(t *testing.T, fault EntryFault) {
		c := newCluster(t, 1, 2)
		c.run(200 * time.Millisecond)
		id := c.submit(1, "urgent", longRunning(2, 10000))
		c.run(time.Second)
		w := c.workers["w000"]
		w.entry.Draining = true
		c.run(time.Second)
		// The damaged entry does not say any more that the worker leaves.
		w.entry.Draining = false
		w.fault = fault
		c.submit(2, "urgent", longRunning(4, 1000))
		c.run(5 * time.Second)
		if len(w.attempts) != 0 {
			t.Errorf("%d tasks run on a worker that leaves, want none", len(w.attempts))
		}
		if n := c.runningOf(id); n != 1 {
			t.Errorf("%d tasks run on the other worker, want 1", n)
		}
	})
}

// TestSilentWorkerWithADamagedEntry: a worker is lost while its entry is damaged.
// It is given up as one without an entry.
func TestSilentWorkerWithADamagedEntry(t *testing.T) {
	forEachFault(t, func(t *testing.T, fault EntryFault) {
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
			t.Error("a worker that is gone is still known")
		}
	})
}

// TestServiceOfARemovedQueue: a queue leaves the configuration with its service.
// The jobs that it took still run there, and its entries are good as long.
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
		t.Errorf("the job of a queue that has gone is %s", state)
	}
}

// TestDamagedEntriesAreNotedOnce: an entry that turns unusable is told once, and once
// when it is good again or gone.
func TestDamagedEntriesAreNotedOnce(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.keepNotes = true
	c.run(time.Second)
	c.addWorker(9).fault = EntryNoLabels
	c.workers["w001"].fault = EntryUnnamedService
	c.run(3 * time.Second)
	want := "worker entry unusable worker=w009: no labels\nworker entry unusable worker=w001: unnamed service"
	if got := strings.Join(c.entryNotes(), "\n"); got != want {
		t.Errorf("noted:\n%s\nwant:\n%s", got, want)
	}
	c.workers["w001"].fault = EntryValid
	c.workers["w009"].listed = false
	c.run(3 * time.Second)
	want = "worker entry gone worker=w009: was no labels\nworker entry good again worker=w001: was unnamed service"
	if got := strings.Join(c.entryNotes(), "\n"); got != want {
		t.Errorf("noted:\n%s\nwant:\n%s", got, want)
	}
}

// TestFloodOfDamagedEntries
//
// Symptom it guards against: the leader's log and memory fill up. Events: a
// writer leaves ten thousand damaged entries, other ones in each list, and
// damages that of a worker among them. Cause: each entry is followed and told.
func TestFloodOfDamagedEntries(t *testing.T) {
	const flood, lists = 10000, 20
	c := newCluster(t, 1, 2)
	c.run(time.Second)
	list := func(number int) WorkersListed {
		var l WorkersListed
		for i := range flood {
			l.add(WorkerEntry{Incarnation: model.Incarnation{ID: model.WorkerID(fmt.Sprintf("x%d-%d", number, i))}}, EntryUnreadable)
		}
		l.add(c.workers["w000"].entry, EntryValid)
		l.add(c.workers["w001"].entry, EntryNoLabels)
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
		if n := c.machine.entries.tracked.Len(); n != maxTrackedUnknown+1 {
			t.Errorf("%d entries are followed, want %d", n, maxTrackedUnknown+1)
		}
	}
	if unknownNotes != unknownNotesPerWindow || workerNotes != 1 {
		t.Errorf("%d notes on strangers and %d on a worker, want %d and 1", unknownNotes, workerNotes, unknownNotesPerWindow)
	}
	counts := c.machine.TakeEntryCounts()
	if counts.Unusable[EntryUnreadable] != flood || counts.Unusable[EntryNoLabels] != 1 {
		t.Errorf("counted: %v", counts.Unusable)
	}
	if unusable, gone := counts.Changes[EntryBecameUnusable], counts.Changes[EntryGone]; unusable != lists*maxTrackedUnknown+1 || gone != (lists-1)*maxTrackedUnknown {
		t.Errorf("%d turned unusable and %d are gone", unusable, gone)
	}
}

// TestDecidesAsWithoutDamagedEntries plays random days under faults, once with
// entries that are missing now and then, and once with damaged ones in their
// place and more of them that name nobody. All decisions must be the same, in
// their order and with their reasons.
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

// firstDifference tells where two lists of decisions part.
func firstDifference(without, with []Note) string {
	for i := range min(len(without), len(with)) {
		if without[i] != with[i] {
			return fmt.Sprintf("decision %d\nwithout: %s\nwith:    %s", i, sessionLine(without[i]), sessionLine(with[i]))
		}
	}
	return fmt.Sprintf("%d decisions without, %d with", len(without), len(with))
}

// decisions plays a day and returns what was decided.
func decisions(t *testing.T, seed uint64, d *entryDamage) []Note {
	c := newCluster(t, seed, 8)
	c.keepNotes = true
	c.damages = d
	c.loseAnswers, c.delayOrders = 0.03, 0.03
	c.faultyDay(rand.New(rand.NewPCG(seed, 2)))
	return slices.DeleteFunc(c.notes, isEntryNote)
}
