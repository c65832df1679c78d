package jobsched

import (
	"cmp"
	"iter"
	"slices"
	"strings"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// schedule starts what is ready and fits, the most urgent first, until all steps
// had their turn or the round has no looks left.
func (m *Machine) schedule() {
	m.countTrials()
	for _, w := range m.workers.All() {
		w.dropReservations(m.now)
		m.startReserved(w)
	}
	if m.pass.begin(m.options.RoundBudget) {
		m.saturated = false
	}
	m.unplaceable.reset()
	m.lowUtilization = m.hasLowUtilization()
	steps := m.pendingSteps()
	front := m.startMostUrgent(steps)
	m.pass.beginSecondHalf()
	for _, p := range steps[front:] {
		if p.lastPass == m.pass.number {
			continue
		}
		if !m.startPending(p) {
			return
		}
	}
	m.pass.open = false
}

// startMostUrgent gives the most urgent steps their turn, whether or not they had one
// in the pass, as far as the looks go. It returns how many.
func (m *Machine) startMostUrgent(steps []pendingStep) int {
	for i, p := range steps {
		if !m.startPending(p) {
			return i
		}
	}
	return len(steps)
}

// startPending starts what fits of a step. It returns false when the round has no
// looks left for it.
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

// pendingStep is a step that is ready, with what it is ordered by.
type pendingStep struct {
	*step
	// interrupted is set for the turn of its interrupted tasks alone. Its other turn
	// in the pass comes later.
	interrupted bool
	priority    int
	lateness    lateness
	objectiveMs int64
}

// pendingSteps returns the steps that are ready, the most urgent first. One with
// interrupted tasks is there twice, first for these.
func (m *Machine) pendingSteps() []pendingStep {
	steps := make([]pendingStep, 0, m.pending.Len())
	for s := range m.pending.All() {
		if s.ready() {
			p := pendingStep{
				step: s, priority: m.queue(s.job()).Priority, lateness: m.lateness(s), objectiveMs: m.objectiveMs(s),
			}
			steps = append(steps, p)
			if s.interrupted() {
				p.interrupted = true
				steps = append(steps, p)
			}
		} else if s.left == 0 {
			m.pending.Delete(s)
		}
	}
	slices.SortFunc(steps, compareUrgency)
	return steps
}

// compareUrgency puts long-running tasks first, since each second without them
// is lost for good, and of these the interrupted ones: in a full cluster new jobs
// would take each place that comes free, and what ran before would not run again.
// Then comes the lower priority number; then jobs that can still meet their
// objective, those that can only be late, and those that are too late to be of
// use; then the earlier objective.
func compareUrgency(a, b pendingStep) int {
	return cmp.Or(
		compareFirst(a.interrupted, b.interrupted),
		compareFirst(a.spec.LongRunning, b.spec.LongRunning),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.lateness, b.lateness),
		cmp.Compare(a.objectiveMs, b.objectiveMs),
		strings.Compare(string(a.job().id), string(b.job().id)),
		cmp.Compare(a.occurrence.number, b.occurrence.number),
		cmp.Compare(a.number, b.number),
	)
}

// compareFirst orders true before false.
func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// dueMs returns when the step's occurrence was due, or its job accepted.
func (s *step) dueMs() int64 {
	if schedule := s.job().record.Spec.Schedule; schedule != nil {
		return schedule.Due(s.occurrence.number).UnixMilli()
	}
	return s.job().record.AcceptedAtMs
}

// allowanceMs returns the time from its being due that the occurrence may take.
func (m *Machine) allowanceMs(s *step) int64 {
	q := m.queue(s.job())
	return int64(q.Stretch*float64(s.occurrence.criticalPathMs)) + q.LatencyTargetMs
}

// objectiveMs returns the time by which the occurrence should be done.
func (m *Machine) objectiveMs(s *step) int64 { return s.dueMs() + m.allowanceMs(s) }

// lateFactor is how many times its allowance a job may take before it is of no
// more use to its caller.
const lateFactor = 3

// lateness tells how an occurrence stands to its objective.
type lateness int

// The kinds of lateness, in the order of urgency.
const (
	inTime lateness = iota
	late
	tooLate
)

// lateness tells how far the step's occurrence is past its objective. Long-running
// ones have no end that could be late: they are of use however late they run.
func (m *Machine) lateness(s *step) lateness {
	switch now := m.wall.UnixMilli(); {
	case s.spec.LongRunning:
		return inTime
	case now < m.objectiveMs(s):
		return inTime
	case now < s.dueMs()+lateFactor*m.allowanceMs(s):
		return late
	}
	return tooLate
}

func (s *step) name() string { return s.tasks[0].key().StepName() }

// startStep starts as many idle tasks of the step as fit. It returns false when
// the round has no looks left for the rest of them.
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
		s.waitingSince = time.Time{}
	case startAwaitsRecord:
	}
	return true
}

// startOutcome tells how far the startOutcome of some tasks came. Later values outweigh
// earlier ones where tasks differ.
type startOutcome int

const (
	// startedAll: all were started.
	startedAll startOutcome = iota
	// startAwaitsRecord: the rest is to be stored first.
	startAwaitsRecord
	// startFoundNoWorker: there is no place for some.
	startFoundNoWorker
	// startBudgetSpent: the round has no looks left, or too many starts are in flight.
	startBudgetSpent
)

// startTasks starts as many of the wanted tasks of the step as fit.
func (m *Machine) startTasks(s *step, wanted func(*task) bool) startOutcome {
	full := m.isUnplaceable(s)
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
		case !full && m.startOnBest(t, &places):
		case t.trial.isAwaitingRecord():
			result = max(result, startAwaitsRecord)
		case t.isSuspect():
			// It is restricted to other workers than the rest of the step.
			result = startFoundNoWorker
			m.preempt(t)
		default:
			result, full = startFoundNoWorker, true
			if !m.preempt(t) {
				return result
			}
		}
	}
	return result
}

// startOnBest starts a task on the best worker, and returns false if there
// is none. places are the candidates for tasks of its step, nil before the first.
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
		// It changes what its worker is worth, which the candidates do not notice.
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

// startOn starts a task on the worker that was found for it, if one was.
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

// everyWorker iterates over the workers in one order.
func (m *Machine) everyWorker() iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, w := range m.workers.All() {
			if !yield(w) {
				return
			}
		}
	}
}

// bestOf returns the bestOf of some workers for the task, or nil if there is none.
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

// startGang starts all tasks of a gang at once under one attempt number, when
// all of them fit and none of an earlier attempt is left. The members wait for
// each other only a short time, so none is started alone.
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

// placeGang finds a worker for each member, on one rack where that matters and
// is possible.
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

// placeGangOn places a gang on some workers. Each one's room is taken by trial
// attempts that are taken back at the end. Whether there is room for all members
// is counted first: trials look at all workers for each of them, which holds all
// orders up for a gang of hundreds.
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

// hasRoomForGang reports whether some workers have room for all members of a gang,
// going by what they have now.
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

// rack is the workers of one rack, and their free processors.
type rack struct {
	name    model.Rack
	workers []*worker
	freeCPU int64
}

// racks returns the racks of the workers, the one with the most free
// processors first.
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
