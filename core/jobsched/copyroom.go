package jobsched

import (
	"github.com/guavarill/guavarill/core/minimalsizes"
	"github.com/guavarill/guavarill/core/speculation"
)

// copyRoom is the room that copies may take in a sweep.
type copyRoom struct {
	m *Machine
	// budgets holds what copies may take, by service.
	budgets map[string]*speculation.Budget
	// waiting holds the sizes of the tasks that wait for room, the smallest of each
	// demand.
	waiting minimalsizes.Set[placementDemand]
}

// newCopyRoom returns the room for copies. Best-effort work that waits does not restrict
// it: it gets what others leave.
func (m *Machine) newCopyRoom() *copyRoom {
	r := &copyRoom{m: m, budgets: make(map[string]*speculation.Budget), waiting: make(minimalsizes.Set[placementDemand])}
	for s := range m.pending.All() {
		if s.ready() && !s.spec.BestEffort && !s.waitingSince.IsZero() {
			r.waiting.Add(m.placementDemand(s), s.spec.Committed())
		}
	}
	return r
}

// budget returns the budget of a service, which it computes the first time.
func (r *copyRoom) budget(service string) *speculation.Budget {
	if known := r.budgets[service]; known != nil {
		return known
	}
	b := &speculation.Budget{}
	for _, w := range r.m.workers.All() {
		if w.entry.Service == service && w.isUsable(r.m.now) {
			b.Room += w.entry.Capacity.MilliCPU - w.longRunningCPU
			b.Free += w.room().MilliCPU
			b.Attempts += w.attempts.Len()
		}
	}
	for a := range r.m.speculation.copies.All() {
		if a.worker.entry.Service == service {
			b.Copies++
			b.CopyRoom += a.size.MilliCPU
		}
	}
	r.budgets[service] = b
	return b
}

// workerFor returns the best worker for a copy of the attempt's task; nil if there is
// none that is no slower, on another VM, near the task's data and not waited for.
func (r *copyRoom) workerFor(first *attempt) *worker {
	m, t, from := r.m, first.task, first.worker
	slowness := max(m.slownessOf(from), 1)
	return m.bestOf(t, func(yield func(*worker) bool) {
		for _, w := range m.workers.All() {
			other := w.id.ID != from.id.ID && (w.entry.Machine == "" || w.entry.Machine != from.entry.Machine)
			if !other || !t.step.isNear(w, from) || m.slownessOf(w) > slowness || r.isWaitedFor(w) {
				continue
			}
			if !yield(w) {
				return
			}
		}
	})
}

// isNear reports whether a copy on w is near the step's data, and near the first attempt
// if the step is slow across racks.
func (s *step) isNear(w, first *worker) bool {
	data := s.spec.DataRack == "" || w.entry.Rack == s.spec.DataRack
	return data && (!s.spec.SameRack || w.entry.Rack == first.entry.Rack)
}

// isWaitedFor reports whether a task that waits would fit on the worker, now or once the
// attempts there that could be preempted have ended.
func (r *copyRoom) isWaitedFor(w *worker) bool {
	for d := range r.waiting {
		here := d.service == w.entry.Service && (d.label == "" || w.hasLabel(d.label))
		if here && r.waiting.AnyFitsIn(d, w.room().Add(w.reclaimable)) {
			return true
		}
	}
	return false
}
