package jobsched

import "time"

// placementFilter reports whether a task may be placed on the worker.
type placementFilter func(m *Machine, t *task, w *worker) bool

// The filters are grouped by what they depend on and ordered so that cheap and
// selective ones run first.
var (
	// fitFilters do not depend on what runs on the worker now. The last is
	// filterTicket, which isFeasibleWithTicket leaves out.
	fitFilters = []placementFilter{filterUsable, filterCordon, filterService, filterLabel, filterProbation, filterSpeed, filterTicket}
	// roomFilters depend on what runs there.
	roomFilters = []placementFilter{filterRoom, filterSpread, filterTrial, filterInterference, filterUnproven}
)

// isFeasible reports whether the task may be placed on the worker now.
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

func filterUsable(m *Machine, _ *task, w *worker) bool { return w.isUsable(m.now) }

// filterService restricts tasks to the workers of the service that the
// configuration names for their queue.
func filterService(m *Machine, t *task, w *worker) bool {
	return w.entry.Service == m.queue(t.step.job()).Service
}

// filterRoom keeps a worker within its capacity. Attempts that are being stopped,
// attempts whose start got no answer, and room reserved for other tasks all count
// as used.
func filterRoom(m *Machine, t *task, w *worker) bool {
	return filterCommitted(m, t, w) && filterBestEffortCPU(m, t, w)
}

// filterCommitted keeps what is committed on a worker within its capacity.
func filterCommitted(_ *Machine, t *task, w *worker) bool {
	return t.step.spec.Committed().Fits(w.roomFor(t))
}

// filterMemory keeps the committed memory of a worker within its capacity.
func filterMemory(_ *Machine, t *task, w *worker) bool {
	return t.step.spec.Committed().MemoryMB <= w.roomFor(t).MemoryMB
}

// filterBestEffortCPU keeps best-effort work within the processor time that the
// other tasks of a worker are expected to leave, unless it may overcommit.
func filterBestEffortCPU(m *Machine, t *task, w *worker) bool {
	spec := t.step.spec
	return !spec.BestEffort || spec.Size.MilliCPU <= w.freeCPU() || m.mayOvercommit(t.step)
}

func filterLabel(_ *Machine, t *task, w *worker) bool {
	label := t.step.spec.Label
	return label == "" || w.hasLabel(label)
}

// filterSpread enforces the step's maximum number of tasks per worker.
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

// filterProbation gives a worker on probation one new task at a time.
func filterProbation(m *Machine, t *task, w *worker) bool {
	if !w.health.IsOnProbation(m.now) {
		return true
	}
	for _, a := range w.attempts.All() {
		if a.phase == phaseStarting || a.startedAt.After(w.health.FailedAt()) {
			return false
		}
	}
	return !t.step.spec.Gang
}

// filterInterference keeps best-effort work off workers whose serving tasks lack
// the latency headroom for it or are over their targets, unless the step is starving. It
// would start at full speed.
func filterInterference(m *Machine, t *task, w *worker) bool {
	spec := t.step.spec
	return !spec.BestEffort || w.throttle.Pressure() <= 1 && m.withinHeadroom(w, m.imageOf(t.step), spec.Size.MilliCPU) || m.starving(t.step)
}

// filterTicket restricts tasks of advised queues to workers with a valid ticket.
func filterTicket(m *Machine, t *task, w *worker) bool {
	return !m.queue(t.step.job()).Advised || t.step.advice.valid(w.id, m.now)
}

// startsHeldBack reports whether no task of the step may start now.
func (m *Machine) startsHeldBack(s *step, now time.Time) bool {
	return now.Before(s.notBefore) || m.startsHeld(s.job())
}
