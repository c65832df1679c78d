package scheduler

import (
	"github.com/guavarill/guavarill/core/eviction"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
)

// preempt makes room for urgent work by stopping the cheapest batch tasks of
// lower priority on one worker. The urgent task itself stays pending: it is
// first in order when the room comes free, once the stops are confirmed.
func (p *placing) preempt(t ledger.Task, size model.Resources) bool {
	if p.preempted >= p.o.MaxPreemptionsPerCycle {
		return false
	}
	choice, possible := eviction.Preempt(p.s.Now, size, t.Priority, p.preemptionCandidates(), p.s.Costs)
	if !possible {
		return false
	}
	for _, key := range choice.Victims {
		victim, known := p.s.Ledger.Task(key)
		if !known || p.touched[key] {
			continue
		}
		p.stop(victim, true, ReasonPreempted)
		p.preempted++
	}
	p.wait(t, size, "waits for room being freed for it")
	p.touched[t.Key] = true
	return true
}

func (p *placing) preemptionCandidates() []eviction.Candidate {
	var candidates []eviction.Candidate
	for i := range p.s.Workers {
		w := &p.s.Workers[i]
		if w.Leaving || w.Quarantined || w.Unreachable || w.VM.State == model.VMLeaving {
			continue
		}
		candidates = append(candidates, p.preemptionCandidate(w))
	}
	return candidates
}

func (p *placing) preemptionCandidate(w *Worker) eviction.Candidate {
	c := eviction.Candidate{
		Worker: w.VM.ID,
		Free:   w.VM.Capacity.Sub(p.s.Ledger.Committed(w.VM.ID)),
	}
	for _, t := range p.s.Ledger.OnWorker(w.VM.ID) {
		if t.Service {
			continue
		}
		c.Batch = append(c.Batch, EvictionTask(t, p.longRunning(t.Key), p.touched[t.Key]))
	}
	return c
}

// EvictionTask describes a batch task of the ledger to the eviction policy.
func EvictionTask(t ledger.Task, longRunning, stopping bool) eviction.Task {
	return eviction.Task{
		Key:           t.Key,
		Class:         t.Class,
		Priority:      t.Priority,
		Size:          t.Size,
		LongRunning:   longRunning,
		Percent:       eviction.FullSpeed,
		CanCheckpoint: true,
		Evictions:     t.Evictions,
		Stopping:      stopping || t.State == ledger.Stopping,
	}
}
