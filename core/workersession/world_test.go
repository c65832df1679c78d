package workersession_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workersession"
	"github.com/guavarill/guavarill/standin/worker"
)

// epochTime is the start of the virtual time.
var epochTime = time.Date(2026, 3, 7, 8, 0, 0, 0, time.UTC)

// The dimensions of a world. The rate of the agents' clocks differs from true time by
// clockError, so a lease can end that much later than its owner computes. The margin
// covers this and the length of a step.
const (
	worldStep    = 100 * time.Millisecond
	worldLength  = 60 * time.Second
	worldQuiet   = 25 * time.Second // without faults, at the end
	storeLease   = 2 * time.Second
	worldGrace   = 4 * time.Second
	clockError   = 0.08
	worldTasks   = 3
	worldWorkers = 2
	maxDelay     = 8 * time.Second
)

func worldOptions() workersession.Options {
	return workersession.Options{
		Lease:       4 * time.Second,
		Margin:      500 * time.Millisecond,
		RenewEvery:  800 * time.Millisecond,
		OutageGrace: worldGrace,
		CallTimeout: 500 * time.Millisecond,
	}
}

// scaledClock is a clock that runs at rate times the speed of the virtual time.
type scaledClock struct {
	w    *world
	rate float64
}

func (c scaledClock) Now() time.Time {
	return epochTime.Add(time.Duration(float64(c.w.now.Sub(epochTime)) * c.rate))
}

// world simulates a store, a succession of owners, a network that delays, loses and
// duplicates messages, and agents with their own clocks.
type world struct {
	now        time.Time
	rnd        *rand.Rand
	opt        workersession.Options
	agents     []*worker.Agent
	partitions []partition
	seenEpochs []model.Epoch // the highest epoch that each agent has seen
	ledger     []taskRow
	current    *owner
	old        []*owner
	net        []delivery
	faults     []fault
	problem    string
	starts     int
	// dropped are the attempts that an owner stopped renewing.
	dropped map[string]bool

	hosts       []*host
	hostActions []hostAction
	// joinAt is when separated hosts reach each other again.
	joinAt time.Time
	// storeDown is whether no host reaches the store.
	storeDown bool
	// noise is for how long messages are lost, duplicated and delayed.
	noise  time.Duration
	length time.Duration

	// skipProof makes owners consider their predecessors over from the start.
	skipProof bool
	// eagerClean makes owners release the shard as clean regardless of whether their
	// predecessors are over.
	eagerClean bool
}

func newWorld(seed int64, faults []fault, opt workersession.Options, flaws worker.Flaws) *world {
	w := &world{
		now:        epochTime,
		rnd:        rand.New(rand.NewSource(seed)),
		opt:        opt,
		dropped:    make(map[string]bool),
		partitions: make([]partition, worldWorkers),
		seenEpochs: make([]model.Epoch, worldWorkers),
		faults:     slices.Clone(faults),
		noise:      worldLength,
		length:     worldLength + worldQuiet,
	}
	w.addHosts()
	slices.SortStableFunc(w.faults, func(a, b fault) int { return int(a.At - b.At) })
	for i := range worldWorkers {
		rate := 1 + clockError*float64(1-2*i) // one fast, one slow
		w.agents = append(w.agents, worker.New(worker.Options{
			ID:          model.WorkerID(fmt.Sprintf("w%d", i)),
			Capacity:    model.Resources{MilliCPU: 2000, MemoryMB: 2000},
			Clock:       scaledClock{w, rate},
			RecordClock: scaledClock{w, 1},
			Flaws:       flaws,
		}))
	}
	for i := range worldTasks {
		w.ledger = append(w.ledger, taskRow{
			key:    model.TaskKey{Workload: "ladder", Generation: 1, Index: uint32(i)},
			worker: -1,
		})
	}
	w.takeOver(true)
	return w
}

// run simulates the world until its end or the first problem.
func (w *world) run() {
	for w.now.Sub(epochTime) < w.length && w.problem == "" {
		w.now = w.now.Add(worldStep)
		for _, a := range w.agents {
			a.Advance()
		}
		w.applyDueFaults()
		w.driveHosts()
		w.takeOverIfLapsed()
		w.deliver()
		for _, o := range append(slices.Clone(w.old), w.current) {
			w.drive(o)
		}
		w.schedule()
		w.check()
	}
}

// noisy reports whether messages are still lost, duplicated and delayed.
func (w *world) noisy() bool { return w.now.Sub(epochTime) < w.noise }

func attemptName(task string, attempt uint32) string {
	return fmt.Sprintf("%s#%d", task, attempt)
}

// schedule commits pending tasks to workers with free capacity.
func (w *world) schedule() {
	o := w.current
	if w.paused(o.host) || !w.now.Before(o.leaseEnd) {
		return
	}
	placed := false
	for i := range w.ledger {
		row := &w.ledger[i]
		target := w.rnd.Intn(worldWorkers)
		if row.worker >= 0 || w.committed(target) >= 2 || o.sessions[target].Unreachable() {
			continue
		}
		row.worker = target
		row.attempt++
		w.starts++
		placed = true
	}
	if placed {
		w.sendDesired(o)
	}
}

func (w *world) committed(worker int) int {
	n := 0
	for _, row := range w.ledger {
		if row.worker == worker {
			n++
		}
	}
	return n
}

// check records a problem if a task runs on both workers.
func (w *world) check() {
	first := w.agents[0].Running()
	for _, other := range w.agents[1].Running() {
		for _, t := range first {
			if t.GetTask() == other.GetTask() {
				w.problem = fmt.Sprintf("at %v: %v on w0, %v on w1", w.now.Sub(epochTime), t, other)
			}
		}
	}
}
