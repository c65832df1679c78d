package jobsched

import "iter"

// schedule runs a placement round: it starts ready tasks that fit, the most urgent
// first, until every step has had its turn or the round's budget is used up.
func (m *Machine) schedule() {
	m.countTrials()
	for _, w := range m.workers.All() {
		m.dropReservations(w)
		m.startReserved(w)
	}
	m.measureRoom()
	if m.pass.Begin(m.options.RoundBudget) {
		m.saturated = false
		m.heldTrials = make(map[*task]struct{})
		m.divideRoom()
	}
	m.unplaceable.reset()
	m.measureUtilization()
	steps := m.pendingSteps()
	started := m.startMostUrgent(steps)
	m.pass.BeginSecondHalf()
	for _, p := range steps[started:] {
		if p.lastPass == m.pass.Number() {
			continue
		}
		if !m.startPending(p) {
			return
		}
	}
	m.pass.End()
	m.countWaitingTrials()
	m.measureWaits()
	m.reserveForLargeTasks()
}

// startMostUrgent processes the most urgent steps, whether or not they had a turn
// in this pass, until the budget is used up. It returns how many it processed.
func (m *Machine) startMostUrgent(steps []pendingStep) int {
	for i, p := range steps {
		if !m.startPending(p) {
			return i
		}
	}
	return len(steps)
}

// startPending starts the tasks of a step that fit. It returns false if the round's
// budget does not suffice.
func (m *Machine) startPending(p pendingStep) bool {
	s := p.step
	if m.pass.IsExhausted() {
		return false
	}
	switch {
	case s.job().state.Final():
	case m.startsHeld(s.job()):
		m.noteHeld(s)
	case m.now.Before(s.notBefore):
	case s.spec.Gang:
		m.startGang(s)
	case p.Interrupted:
		return m.startTasks(s, (*task).interrupted) != startBudgetSpent
	case !m.startStep(s):
		return false
	}
	s.lastPass = m.pass.Number()
	return true
}

func (s *step) name() string { return s.tasks[0].key().StepName() }

// startStep starts as many idle tasks of the step as fit. It returns false if the
// round's budget does not suffice for the rest.
func (m *Machine) startStep(s *step) bool {
	switch m.startTasks(s, (*task).idle) {
	case startBudgetSpent:
		return false
	case startFoundNoWorker:
		m.saturated = true
		m.noteWaiting(s)
		m.askAdvice(s)
	case startedAll:
		m.pending.Delete(s)
		m.noteFoundWorkers(s)
	case startAwaitsRecord:
	}
	return true
}

// startOutcome is the result of starting some tasks of a step. Where tasks differ,
// the highest value applies.
type startOutcome int

const (
	// startedAll: all were started.
	startedAll startOutcome = iota
	// startAwaitsRecord: a record has to be stored before the rest can start.
	startAwaitsRecord
	// startFoundNoWorker: no worker was found for some.
	startFoundNoWorker
	// startBudgetSpent: the round's budget is used up, or too many starts are in
	// flight.
	startBudgetSpent
)

// startTasks starts as many tasks of the step as fit, out of those for which wanted
// returns true.
func (m *Machine) startTasks(s *step, wanted func(*task) bool) startOutcome {
	unplaceable := m.isUnplaceable(s)
	result := startedAll
	var places *candidates
	for _, t := range s.tasks {
		if !wanted(t) {
			continue
		}
		if m.pass.IsExhausted() || m.starting >= m.options.StartsInFlight {
			return startBudgetSpent
		}
		if m.isHeldByShare(t) {
			result = max(result, startFoundNoWorker)
			continue
		}
		if !m.ensureRestartStored(t) {
			result = max(result, startAwaitsRecord)
			continue
		}
		if !m.mayStartAfterCrashes(t) {
			m.heldTrials[t] = struct{}{}
			m.dropTrialOnWorker(t)
			result = startFoundNoWorker
			continue
		}
		switch {
		case (!unplaceable || m.hasRequestedTrial(t)) && m.startOnBest(t, &places):
		case t.trial.isAwaitingRecord():
			result = max(result, startAwaitsRecord)
		case t.isSuspect():
			// A suspect task is restricted to fewer workers than the rest of the
			// step.
			result = startFoundNoWorker
			if !t.needsIsolation() || m.trialWorkers < m.maxTrialWorkers() {
				m.preempt(t)
			}
		default:
			result, unplaceable = startFoundNoWorker, true
			if !m.preempt(t) {
				return result
			}
		}
	}
	return result
}

// startOnBest starts a task on the best worker. It returns false if there is none,
// or if a record has to be stored first. places holds the candidates for tasks of
// the step; it points to nil until they have been computed.
func (m *Machine) startOnBest(t *task, places **candidates) bool {
	m.pass.Spend(startCost)
	if t.trial.isAwaitingRecord() {
		return false
	}
	if t.trial.stored && t.trial.namesWorker() {
		*places = nil
		if m.startTrial(t) {
			return true
		}
	}
	if !m.isInterchangeable(t) {
		// Its start changes the score of its worker without updating the
		// candidates.
		*places = nil
		return m.startOn(t, m.bestWorker(t))
	}
	if *places == nil {
		*places = m.newCandidates(t)
	}
	if !m.startOn(t, (*places).best()) {
		return false
	}
	(*places).started()
	return true
}

// startOn starts a task on w if w is not nil and no record has to be stored first.
func (m *Machine) startOn(t *task, w *worker) bool {
	if w == nil {
		m.dropTrialOnWorker(t)
		m.recordUnplaceable(t)
		return false
	}
	if !m.ensureTrialStored(t, w) {
		return false
	}
	m.startAttempt(t, w, t.last+1)
	return true
}

// bestWorker returns the best worker for the task, or nil if there is none.
func (m *Machine) bestWorker(t *task) *worker {
	m.pass.Spend(m.workers.Len())
	return m.bestOf(t, m.everyWorker())
}

// everyWorker iterates over all workers in a fixed order.
func (m *Machine) everyWorker() iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, w := range m.workers.All() {
			if !yield(w) {
				return
			}
		}
	}
}

// bestOf returns the best of the given workers for the task, or nil if none is
// feasible.
func (m *Machine) bestOf(t *task, workers iter.Seq[*worker]) *worker {
	var best *worker
	bestScore := 0.0
	for w := range workers {
		if !m.isFeasible(t, w) {
			continue
		}
		score := m.score(t, w)
		if best == nil || score > bestScore || score == bestScore && w.id.Compare(best.id) < 0 {
			best, bestScore = w, score
		}
	}
	return best
}
