package jobsched

import "time"

// placementFilter reports whether a task of the step may go to the worker.
type placementFilter func(m *Machine, s *step, w *worker) bool

// placementFilters are asked in this order, the cheap and selective first.
var placementFilters = []placementFilter{
	filterUsable, filterService, filterRoom, filterLabel, filterSpread, filterProbing, filterInterference, filterTicket,
}

func (m *Machine) allowed(s *step, w *worker) bool {
	for _, f := range placementFilters {
		if !f(m, s, w) {
			return false
		}
	}
	return true
}

func filterUsable(m *Machine, _ *step, w *worker) bool { return w.usable(m.now) }

// filterService keeps tasks on the workers of the service that the
// configuration names for their queue.
func filterService(m *Machine, s *step, w *worker) bool {
	return w.entry.Service == m.queue(s.job()).Service
}

// filterRoom keeps a worker within its capacity. What is being stopped, and
// what may be started by an order that got no answer, still counts.
func filterRoom(_ *Machine, s *step, w *worker) bool {
	if !s.spec.Committed().Fits(w.room()) {
		return false
	}
	return !s.spec.BestEffort || s.spec.Size.MilliCPU <= w.freeCPU()
}

func filterLabel(_ *Machine, s *step, w *worker) bool {
	return s.spec.Label == "" || w.hasLabel(s.spec.Label)
}

// filterSpread keeps to the bound on the tasks of one step on one worker.
func filterSpread(_ *Machine, s *step, w *worker) bool {
	if s.spec.MaxPerWorker == 0 {
		return true
	}
	count := 0
	for _, a := range w.attempts {
		if a.step() == s || a.task == nil && a.key.task.StepName() == s.name() {
			count++
		}
	}
	return count < s.spec.MaxPerWorker
}

// filterProbing gives a worker under suspicion one task at a time.
func filterProbing(_ *Machine, s *step, w *worker) bool {
	return !w.health.probing() || len(w.attempts) == 0 && !s.spec.Gang
}

// filterInterference keeps best-effort work away from the serving tasks that it
// is known to slow down.
func filterInterference(m *Machine, s *step, w *worker) bool {
	return !s.spec.BestEffort || m.worstEffect(w, s.spec.Image) <= harmfulEffect
}

// filterTicket keeps the tasks of advised queues on workers with a ticket.
func filterTicket(m *Machine, s *step, w *worker) bool {
	return !m.queue(s.job()).Advised || s.advice.valid(w.id, m.now)
}

// heldBack reports whether nothing of the step may start now.
func (m *Machine) heldBack(s *step, now time.Time) bool {
	return now.Before(s.notBefore) || m.held(s.job())
}
