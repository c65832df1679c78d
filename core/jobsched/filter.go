package jobsched

import "time"

// placementFilter reports whether a task may go to the worker.
type placementFilter func(m *Machine, t *task, w *worker) bool

// The filters are asked in this order, the cheap and selective first.
var (
	// fitFilters hold for a worker whatever runs on it now.
	fitFilters = []placementFilter{filterUsable, filterService, filterLabel, filterProbing, filterTicket}
	// roomFilters depend on what runs there.
	roomFilters = []placementFilter{filterRoom, filterSpread, filterInterference}
)

// allowed reports whether the task may go to the worker now.
func (m *Machine) allowed(t *task, w *worker) bool {
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

// filterProbing gives a worker under suspicion one new task at a time.
func filterProbing(m *Machine, t *task, w *worker) bool {
	if !w.health.probing(m.now) {
		return true
	}
	for _, a := range w.attempts.All() {
		if a.phase == phaseStarting || a.startedAt.After(w.health.failedAt) {
			return false
		}
	}
	return !t.step.spec.Gang
}

// filterInterference keeps best-effort work away from the serving tasks that it
// is known to slow down.
func filterInterference(m *Machine, t *task, w *worker) bool {
	return !t.step.spec.BestEffort || m.worstEffect(w, t.step.spec.Image) <= harmfulEffect
}

// filterTicket keeps the tasks of advised queues on workers with a ticket.
func filterTicket(m *Machine, t *task, w *worker) bool {
	return !m.queue(t.step.job()).Advised || t.step.advice.valid(w.id, m.now)
}

// heldBack reports whether nothing of the step may start now.
func (m *Machine) heldBack(s *step, now time.Time) bool {
	return now.Before(s.notBefore) || m.held(s.job())
}
