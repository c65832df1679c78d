package scheduler

import (
	"github.com/guavarill/guavarill/core/eviction"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
)

// preempt stops the cheapest set of batch tasks of lower priority on one
// worker to make room for an urgent task. The urgent task stays pending and is
// placed first once the stops are confirmed and the room is free. preempt
// returns false when the cycle's limit of preemptions is reached or no worker
// can be made to hold the task.
func (p *placementPass) preempt(t ledger.Task, size model.Resources) bool {
	if p.preempted >= p.options.MaxPreemptionsPerCycle {
		return false
	}
	choice, possible := eviction.Preempt(p.snapshot.Now, size, t.Priority, p.preemptionCandidates(), p.snapshot.Costs)
	if !possible {
		return false
	}
	for _, key := range choice.Victims {
		victim, known := p.snapshot.Ledger.Task(key)
		if !known || p.touched[key] {
			continue
		}
		p.stop(victim, true, ReasonPreempted)
		p.preempted++
	}
	p.setPendingReason(t, size, "waits for room being freed for it")
	p.touched[t.Key] = true
	return true
}

func (p *placementPass) preemptionCandidates() []eviction.Candidate {
	var candidates []eviction.Candidate
	for i := range p.snapshot.Workers {
		w := &p.snapshot.Workers[i]
		if w.Leaving || w.Quarantined || w.Unreachable || w.Cordoned || w.VM.State == model.VMLeaving {
			continue
		}
		candidates = append(candidates, p.preemptionCandidate(w))
	}
	return candidates
}

func (p *placementPass) preemptionCandidate(w *Worker) eviction.Candidate {
	c := eviction.Candidate{
		Worker: w.VM.ID,
		Free:   w.VM.Capacity.Sub(p.snapshot.Ledger.Committed(w.VM.ID)),
	}
	for _, t := range p.snapshot.Ledger.OnWorker(w.VM.ID) {
		if t.Service {
			continue
		}
		c.Batch = append(c.Batch, EvictionTask(t, p.longRunning(t.Key), p.touched[t.Key]))
	}
	return c
}

// EvictionTask converts a batch task of the ledger to the form that the
// eviction policy reads. The task is taken to run at full speed and to be able
// to write a checkpoint.
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
