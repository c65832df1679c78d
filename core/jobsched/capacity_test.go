package jobsched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// shrinkNotice is how long after its capacity has shrunk a worker may still get
// tasks that fitted before: the time in which the platform notices the change, and a
// heartbeat.
const shrinkNotice = 3500 * time.Millisecond

// resize changes the capacity in the worker's entry.
func (w *fakeWorker) resize(capacity model.Resources) {
	if capacity != w.entry.Capacity {
		w.oldCapacity, w.resizedAt = w.entry.Capacity, w.c.now
		w.entry.Capacity = capacity
	}
}

// hasCapacityFor reports whether a start may raise the worker's use to used.
func (w *fakeWorker) hasCapacityFor(used model.Resources) bool {
	noticed := w.c.now.Sub(w.resizedAt) >= shrinkNotice
	return used.Fits(w.entry.Capacity) || !noticed && used.Fits(w.oldCapacity)
}

// TestStartsFollowCapacitiesThatChange shrinks workers to a part of their size and
// grows them again while jobs of all kinds arrive, including gangs and urgent jobs
// that preempt others, and leaders change. No start may exceed a worker's capacity,
// and all jobs must complete once the workers have their full size again.
func TestStartsFollowCapacitiesThatChange(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newCluster(t, seed, 8)
			c.keepFinalJobs()
			c.run(200 * time.Millisecond)
			rnd := rand.New(rand.NewPCG(seed, 8))
			full := c.workers["w000"].entry.Capacity
			var ids []job.ID
			for i := range 60 {
				ids = append(ids, c.randomJob(rnd, 1+i))
				c.run(time.Duration(rnd.IntN(400)) * time.Millisecond)
				w := c.workers[c.workerIDs()[rnd.IntN(len(c.workers))]]
				switch rnd.IntN(6) {
				case 0, 1:
					w.resize(model.Resources{MilliCPU: full.MilliCPU / 4, MemoryMB: full.MemoryMB / 4})
				case 2:
					w.resize(full)
				case 3:
					c.handOver()
				case 4:
					c.replaceLeader()
				}
			}
			for _, w := range c.workers {
				w.resize(full)
			}
			c.run(40 * time.Second)
			for _, id := range ids {
				if s := c.state(id); s != job.Completed {
					t.Errorf("job %s is %s in the end", id, s)
				}
			}
		})
	}
}

// TestRosterTellsTheFullSizeOfShrunkWorkers guards against a roster that holds only
// the shrunk size of workers. It determines which jobs can ever run. If all workers
// are shrunk when it is stored, also by a leader that has taken over or after a
// worker has restarted, jobs that fit the full size were rejected.
func TestRosterTellsTheFullSizeOfShrunkWorkers(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(time.Second)
	full := c.workers["w000"].entry.Capacity
	for _, w := range c.workers {
		w.resize(model.Resources{MilliCPU: 1000, MemoryMB: 4000})
	}
	c.run(time.Second)
	c.replaceLeader()
	c.run(time.Second)
	c.restart(c.workers["w001"])
	c.run(10 * time.Second)
	c.replaceLeader()
	c.run(time.Second)
	if len(c.roster) != 2 {
		t.Fatalf("%d workers on the roster, want 2", len(c.roster))
	}
	for _, e := range c.roster {
		if e.FullCapacity() != full {
			t.Errorf("%s has %s at its full size, want %s", e.ID, e.FullCapacity(), full)
		}
	}
}
