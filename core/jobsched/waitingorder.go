package jobsched

import (
	"fmt"
	"slices"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/joborder"
)

// pendingStep is a ready step with its sort keys. Its rank is Interrupted for the turn
// that covers only the step's interrupted tasks; the step's other turn in the pass comes
// later.
type pendingStep struct {
	*step
	joborder.Rank
}

// pendingSteps returns the ready steps, the most urgent first. A step with
// interrupted tasks appears twice, the first time for those tasks alone. Steps without
// tasks left leave the set of pending ones, and occurrences that have become too late to
// be of use are counted as not served.
func (m *Machine) pendingSteps() []pendingStep {
	steps := make([]pendingStep, 0, m.pending.Len())
	for s := range m.pending.All() {
		if s.ready() {
			p := pendingStep{step: s, Rank: m.rankOf(s)}
			if p.Lateness == joborder.TooLate {
				m.countOutcome(s.occurrence, false)
			}
			steps = append(steps, p)
			if s.interrupted() {
				p.Interrupted = true
				steps = append(steps, p)
			}
		} else if s.left == 0 {
			m.pending.Delete(s)
		}
	}
	compare := joborder.CompareUrgency
	if m.options.Policies.ShareRoom {
		compare = joborder.CompareSharing
	}
	slices.SortFunc(steps, func(a, b pendingStep) int { return compare(a.Rank, b.Rank) })
	return steps
}

// rankOf returns the sort keys of a step.
func (m *Machine) rankOf(s *step) joborder.Rank {
	o := s.occurrence
	return joborder.Rank{
		LongRunning: s.spec.LongRunning, Priority: m.queue(s.job()).Priority, Lateness: m.lateness(o), Cost: m.cost(o),
		ObjectiveMs: m.objectiveMs(o), ShareUsed: m.shareUsed(s), Job: s.job().id, Occurrence: o.number, Step: s.number,
	}
}

// dueMs returns when the occurrence was due, or when its job was accepted if it has no
// schedule, as Unix time in milliseconds.
func (o *occurrence) dueMs() int64 {
	if schedule := o.job.record.Spec.Schedule; schedule != nil {
		return schedule.Due(o.number).UnixMilli()
	}
	return o.job.record.AcceptedAtMs
}

// allowanceMs returns how long the occurrence may take after it is due, in
// milliseconds.
func (m *Machine) allowanceMs(o *occurrence) int64 {
	return allowanceMs(m.queue(o.job), o.criticalPathMs)
}

// allowanceMs returns how long a job of the queue with the given critical path may
// take, in milliseconds.
func allowanceMs(q *job.Queue, criticalPathMs int64) int64 {
	return int64(min(q.Stretch*float64(criticalPathMs)+float64(q.LatencyTargetMs), job.MaxAllowanceMs))
}

// objectiveMs returns the time by which the occurrence should be done, as Unix time in
// milliseconds.
func (m *Machine) objectiveMs(o *occurrence) int64 { return o.dueMs() + m.allowanceMs(o) }

// lateness returns whether the occurrence can still meet its objective, if what is left
// of it started now and took as much longer than estimated as other jobs of its queue.
// An occurrence that runs until it is canceled is always in time.
func (m *Machine) lateness(o *occurrence) joborder.Lateness {
	if o.untilCanceled {
		return joborder.InTime
	}
	rest := int64(m.runTimes.Of(m.queue(o.job).Name) * float64(o.pathLeftMs))
	return joborder.LatenessOf(o.dueMs(), m.wall.UnixMilli()+rest, m.allowanceMs(o), m.isDeferred(o))
}

// cost returns what it takes to finish the occurrence, in relation to its size. It is 0
// for one that runs until it is canceled, which has no work to finish.
func (m *Machine) cost(o *occurrence) float64 {
	if o.untilCanceled {
		return 0
	}
	return m.sizeBalances.Cost(m.queue(o.job).Name, o.workLeft, o.work)
}

// countOutcome counts an occurrence whose outcome for its caller is decided: it is
// done, or too late to be of use. Each is counted once.
func (m *Machine) countOutcome(o *occurrence, served bool) {
	if o.outcomeCounted || o.untilCanceled {
		return
	}
	o.outcomeCounted = true
	queue := m.queue(o.job).Name
	b := m.sizeBalances.Observe(queue, o.work, served)
	if b == nil {
		return
	}
	large, all := b.Served()
	m.emit(Note{Decision: joblog.MessageSizeOrderChanged, Reason: fmt.Sprintf(
		"queue %s: work left is divided by the whole work to the power of %.2f; %.2f of the large jobs were served, %.2f of all",
		queue, b.Exponent(), large, all)})
}

// observeRunTime counts an occurrence that is done, unless the time that it took is
// not known or was spent waiting.
func (m *Machine) observeRunTime(o *occurrence) {
	if o.waitedForWorker || o.firstStartAt.IsZero() || o.job.recovered {
		return
	}
	m.runTimes.Observe(m.queue(o.job).Name, m.now.Sub(o.firstStartAt), o.criticalPathMs)
}
