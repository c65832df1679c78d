package jobsched

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/guavarill/guavarill/core/job"
)

// This file decides in which order ready steps get workers. It answers a backlog of
// jobs that the workers cannot clear: what is spent on a job that will be late all the
// same is missing for others.

// pendingStep is a ready step with its sort keys.
type pendingStep struct {
	*step
	// interrupted marks the turn that covers only the step's interrupted tasks. The
	// step's other turn in the pass comes later.
	interrupted bool
	priority    int
	lateness    lateness
	cost        float64
	objectiveMs int64
}

// pendingSteps returns the ready steps, the most urgent first. A step with
// interrupted tasks appears twice, the first time for those tasks alone.
func (m *Machine) pendingSteps() []pendingStep {
	steps := make([]pendingStep, 0, m.pending.Len())
	for s := range m.pending.All() {
		if s.ready() {
			p := pendingStep{
				step: s, priority: m.queue(s.job()).Priority, lateness: m.lateness(s), cost: m.cost(s), objectiveMs: m.objectiveMs(s),
			}
			if p.lateness == tooLate {
				m.countOutcome(s.occurrence, false)
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

// compareUrgency puts long-running tasks first, since each second without them is
// lost for good, and among these the interrupted ones: otherwise, in a full
// cluster, new jobs would take every place that becomes free, and tasks that ran
// before would not run again. Then come the lower priority number; then jobs that
// can still meet their objective, those that can only be late, and those too late to
// be of use; then the lower cost; then the earlier objective.
func compareUrgency(a, b pendingStep) int {
	return cmp.Or(
		compareFirst(a.interrupted, b.interrupted),
		compareFirst(a.spec.LongRunning, b.spec.LongRunning),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.lateness, b.lateness),
		cmp.Compare(a.cost, b.cost),
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

// dueMs returns when the step's occurrence was due, or when its job was accepted if
// it has no schedule.
func (s *step) dueMs() int64 {
	if schedule := s.job().record.Spec.Schedule; schedule != nil {
		return schedule.Due(s.occurrence.number).UnixMilli()
	}
	return s.job().record.AcceptedAtMs
}

// allowanceMs returns how long the occurrence may take after it is due.
func (m *Machine) allowanceMs(s *step) int64 {
	return allowanceMs(m.queue(s.job()), s.occurrence.criticalPathMs)
}

// allowanceMs returns how long a job with the given critical path may take.
func allowanceMs(q *job.Queue, criticalPathMs int64) int64 {
	return int64(q.Stretch*float64(criticalPathMs)) + q.LatencyTargetMs
}

// objectiveMs returns the time by which the occurrence should be done.
func (m *Machine) objectiveMs(s *step) int64 { return s.dueMs() + m.allowanceMs(s) }

// lateFactor is how many times its allowance a job may take before its result is of
// no use to the caller.
const lateFactor = 3

// lateness classifies an occurrence by whether it can meet its objective.
type lateness int

// The lateness values, in order of urgency.
const (
	inTime lateness = iota
	late
	tooLate
)

// lateness returns whether the step's occurrence can still meet its objective, if
// what is left of it started now and took as much longer than estimated as other jobs
// of its queue. Long-running occurrences never end, so they are always in time.
func (m *Machine) lateness(s *step) lateness {
	rest := int64(m.runTimes.of(m.queue(s.job()).Name) * float64(s.occurrence.pathLeftMs))
	switch end := m.wall.UnixMilli() + rest; {
	case s.spec.LongRunning:
		return inTime
	case end < m.objectiveMs(s):
		return inTime
	case end < s.dueMs()+lateFactor*m.allowanceMs(s):
		return late
	}
	return tooLate
}

// cost returns what it takes to finish the step's occurrence, in relation to its
// size: the work that is left, divided by a power of the whole work. Of jobs that have
// not begun, the small ones come first, so that the room that there is serves many
// callers, as far as large ones are not starved (sizeBalance); one that has begun comes
// before new ones that need as much, so that work is not left unfinished. It is 0 for
// long-running occurrences, which have no work to finish.
func (m *Machine) cost(s *step) float64 {
	if s.spec.LongRunning {
		return 0
	}
	return s.occurrence.workLeft / math.Pow(s.occurrence.work, m.sizeExponent(m.queue(s.job()).Name))
}
