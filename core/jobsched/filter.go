package jobsched

import "time"

// placementFilter reports whether a task may go to the worker.
type placementFilter func(m *Machine, t *task, w *worker) bool

// The filters are asked in this order, the cheap and selective first.
var (
	// fitFilters hold for a worker whatever runs on it now.
	fitFilters = []placementFilter{filterUsable, filterService, filterLabel, filterProbation, filterTicket}
	// roomFilters depend on what runs there.
	roomFilters = []placementFilter{filterRoom, filterSpread, filterTrial, filterInterference}
)

// isFeasible reports whether the task may go to the worker now.
func (m *Machine) isFeasible(t *task, w *worker) bool {
	return m.passes(roomFilters, t, w) && m.passes(fitFilters, t, w)
}

func (m *Machine) passes(filters []placementFilter, t *task, w *worker) bool {
	for _, f := range filters {
		if !f(m, t, w) {
			return false
		}
	}
	return true
}

func filterUsable(m *Machine, _ *task, w *worker) bool { return w.usable(m.now) }

// filterService keeps tasks on the workers of the service that the
// configuration names for their queue.
func filterService(m *Machine, t *task, w *worker) bool {
	return w.entry.Service == m.queue(t.step.job()).Service
}

// filterRoom keeps a worker within its capacity. What is being stopped, and
// what may be started by an order that got no answer, still counts; so does
// what is reserved for others.
func filterRoom(_ *Machine, t *task, w *worker) bool {
	s := t.step
	if !s.spec.Committed().Fits(w.roomFor(t)) {
		return false
	}
	return !s.spec.BestEffort || s.spec.Size.MilliCPU <= w.freeCPU()
}

func filterLabel(_ *Machine, t *task, w *worker) bool {
	label := t.step.spec.Label
	return label == "" || w.hasLabel(label)
}

// filterSpread keeps to the bound on the tasks of one step on one worker.
func filterSpread(_ *Machine, t *task, w *worker) bool {
	s := t.step
	if s.spec.MaxPerWorker == 0 {
		return true
	}
	count := 0
	for _, a := range w.attempts.All() {
		if a.step() == s || a.task == nil && a.key.task.StepName() == s.name() {
			count++
		}
	}
	return count < s.spec.MaxPerWorker
}

// filterProbation gives a worker under suspicion one new task at a time.
func filterProbation(m *Machine, t *task, w *worker) bool {
	if !w.health.isOnProbation(m.now) {
		return true
	}
	for _, a := range w.attempts.All() {
		if a.phase == phaseStarting || a.startedAt.After(w.health.failedAt) {
			return false
		}
	}
	return !t.step.spec.Gang
}

// filterInterference keeps best-effort work away from serving tasks whose tails have
// no headroom for it, unless it would wait for ever.
func filterInterference(m *Machine, t *task, w *worker) bool {
	spec := t.step.spec
	return !spec.BestEffort || m.withinHeadroom(w, spec.Image, spec.Size.MilliCPU) || m.starving(t.step)
}

const (
	// bestEffortMaxWait is how long a best-effort step keeps away from serving
	// tasks that it is known to disturb, while much of the cluster is free.
	bestEffortMaxWait = 1500 * time.Millisecond
	// lowUtilizationLimit is the part of the processors that may be committed for that. Above
	// it workers without such tasks come free by and by.
	lowUtilizationLimit = 0.6
)

// starving reports whether a best-effort step has waited for long though much is
// free. Where serving tasks of an image that it disturbs are on every worker, it
// would wait until they have gone: one notices by steps that wait for half a
// minute with "would disturb" for all workers. It starts where it disturbs least
// then, and is throttled for the sake of the tasks beside it.
func (m *Machine) starving(s *step) bool {
	return m.lowUtilization && !s.waitingSince.IsZero() && m.now.Sub(s.waitingSince) >= bestEffortMaxWait
}

// hasLowUtilization reports whether so little of the workers that may be used is
// committed that best-effort work need not wait for better places.
func (m *Machine) hasLowUtilization() bool {
	var committed, capacity int64
	for _, w := range m.workers.All() {
		if w.usable(m.now) {
			committed += w.committed.MilliCPU
			capacity += w.entry.Capacity.MilliCPU
		}
	}
	return float64(committed) < lowUtilizationLimit*float64(capacity)
}

// filterTicket keeps the tasks of advised queues on workers with a ticket.
func filterTicket(m *Machine, t *task, w *worker) bool {
	return !m.queue(t.step.job()).Advised || t.step.advice.valid(w.id, m.now)
}

// startsHeldBack reports whether nothing of the step may start now.
func (m *Machine) startsHeldBack(s *step, now time.Time) bool {
	return now.Before(s.notBefore) || m.startsHeld(s.job())
}
