package jobsched

import (
	"cmp"
	"iter"
	"slices"
	"strings"

	"github.com/guavarill/guavarill/core/model"
)

// schedule runs a placement round: it starts ready tasks that fit, the most urgent
// first, until every step has had its turn or the round's budget is used up.
func (m *Machine) schedule() {
	m.countTrials()
	for _, w := range m.workers.All() {
		m.dropReservations(w)
		m.startReserved(w)
	}
	if m.pass.begin(m.options.RoundBudget) {
		m.saturated = false
	}
	m.unplaceable.reset()
	m.lowUtilization = m.hasLowUtilization()
	steps := m.pendingSteps()
	started := m.startMostUrgent(steps)
	m.pass.beginSecondHalf()
	for _, p := range steps[started:] {
		if p.lastPass == m.pass.number {
			continue
		}
		if !m.startPending(p) {
			return
		}
	}
	m.pass.open = false
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
	if m.pass.isExhausted() {
		return false
	}
	switch {
	case s.job().state.Final():
	case m.startsHeld(s.job()):
		m.noteHeld(s)
	case m.now.Before(s.notBefore):
	case s.spec.Gang:
		m.startGang(s)
	case p.interrupted:
		return m.startTasks(s, (*task).interrupted) != startBudgetSpent
	case !m.startStep(s):
		return false
	}
	s.lastPass = m.pass.number
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
		if m.pass.isExhausted() || m.starting >= m.options.StartsInFlight {
			return startBudgetSpent
		}
		if !m.ensureRestartStored(t) {
			result = max(result, startAwaitsRecord)
			continue
		}
		if !m.mayStartAfterCrashes(t) {
			m.dropTrialOnWorker(t)
			result = startFoundNoWorker
			continue
		}
		switch {
		case !unplaceable && m.startOnBest(t, &places):
		case t.trial.isAwaitingRecord():
			result = max(result, startAwaitsRecord)
		case t.isSuspect():
			// A suspect task is restricted to fewer workers than the rest of the
			// step.
			result = startFoundNoWorker
			m.preempt(t)
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
	m.pass.spend(startCost)
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
	m.pass.spend(m.workers.Len())
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

// startGang starts all tasks of a gang together under one attempt number, if all of
// them fit and no attempt of the gang is left. None is started alone, because the
// members wait for each other only a short time.
func (m *Machine) startGang(s *step) {
	number := 0
	for _, t := range s.tasks {
		if len(t.attempts) > 0 {
			return
		}
		number = max(number, t.last)
	}
	if !m.ensureRestartsStored(s) || !m.mayStartGangAfterCrashes(s) {
		return
	}
	placed, ok := m.placeGang(s)
	if !ok {
		for _, t := range s.tasks {
			m.dropTrialOnWorker(t)
		}
		m.saturated = true
		m.noteWaiting(s)
		m.askAdvice(s)
		return
	}
	if !m.ensureGangTrialsStored(s, placed) {
		return
	}
	for i, t := range s.tasks {
		t.last = number
		m.startAttempt(t, placed[i], number+1)
	}
	m.pending.Delete(s)
}

// placeGang finds a worker for each member, on a single rack if the step asks for
// that and it is possible.
func (m *Machine) placeGang(s *step) ([]*worker, bool) {
	if m.isGangUnplaceable(s) {
		return nil, false
	}
	if s.spec.SameRack {
		m.pass.spend(m.workers.Len())
		for _, rack := range m.racks() {
			if placed, ok := m.placeGangOn(s, rack.workers); ok {
				return placed, true
			}
		}
	}
	placed, ok := m.placeGangOn(s, slices.Collect(m.everyWorker()))
	if !ok {
		m.recordUnplaceableGang(s)
	}
	return placed, ok
}

// placeGangOn places a gang on the given workers. Provisional attempts take up the
// room of each placed member and are removed at the end. It first counts whether
// there is room for all members, because the provisional placement checks all
// workers for each member, which delays all orders for a gang of hundreds.
func (m *Machine) placeGangOn(s *step, workers []*worker) ([]*worker, bool) {
	if !m.hasRoomForGang(s, workers) {
		return nil, false
	}
	var placed []*worker
	var trials []*attempt
	defer func() {
		for _, a := range trials {
			a.worker.remove(a)
		}
	}()
	for _, t := range s.tasks {
		m.pass.spend(len(workers))
		w := m.bestOf(t, slices.Values(workers))
		if w == nil {
			return nil, false
		}
		trial := &attempt{key: attemptKey{task: t.key()}, worker: w, task: t, size: s.spec.Committed()}
		if s.spec.BestEffort {
			trial.bestEffortCPU = s.spec.Size.MilliCPU
		}
		w.add(trial)
		trials = append(trials, trial)
		placed = append(placed, w)
	}
	return placed, true
}

// hasRoomForGang reports whether the workers together have room for all members of
// a gang.
func (m *Machine) hasRoomForGang(s *step, workers []*worker) bool {
	m.pass.spend(len(workers))
	t := s.tasks[0]
	left := len(s.tasks)
	for _, w := range workers {
		if m.isFeasible(t, w) {
			left -= min(w.countFitting(t), left)
		}
		if left <= 0 {
			return true
		}
	}
	return false
}

// countFitting returns how many tasks like t the worker has room for.
func (w *worker) countFitting(t *task) int {
	spec := t.step.spec
	n := spec.Committed().FitCount(w.roomFor(t))
	if spec.BestEffort {
		n = min(n, model.Resources{MilliCPU: spec.Size.MilliCPU}.FitCount(model.Resources{MilliCPU: w.freeCPU()}))
	}
	if spec.MaxPerWorker > 0 {
		n = min(n, spec.MaxPerWorker)
	}
	return n
}

// rack is the workers of one rack and their uncommitted processors, in thousandths
// of a core.
type rack struct {
	name    model.Rack
	workers []*worker
	freeCPU int64
}

// racks returns the racks of the workers, the one with the most free processors
// first.
func (m *Machine) racks() []*rack {
	byName := make(map[model.Rack]*rack)
	var racks []*rack
	for _, w := range m.workers.All() {
		r := byName[w.entry.Rack]
		if r == nil {
			r = &rack{name: w.entry.Rack}
			byName[r.name] = r
			racks = append(racks, r)
		}
		r.workers = append(r.workers, w)
		r.freeCPU += w.room().MilliCPU
	}
	slices.SortFunc(racks, func(a, b *rack) int {
		return cmp.Or(cmp.Compare(b.freeCPU, a.freeCPU), strings.Compare(string(a.name), string(b.name)))
	})
	return racks
}
