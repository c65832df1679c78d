package jobsched

import (
	"fmt"
	"time"
)

const (
	// stallTimeout is how long an attempt may stand still, by its reports, before
	// it is started elsewhere. Its share of done work grows by the percent, and
	// the longest tasks of the users take some seconds for all hundred.
	stallTimeout = 1500 * time.Millisecond
	// bestEffortStallTimeout is the same for work that may find no processor free.
	bestEffortStallTimeout = 5 * time.Second
)

// checkAttempts stops attempts that are better run elsewhere, and notes those whose
// workers do not answer.
func (m *Machine) checkAttempts() {
	for _, w := range m.workers.All() {
		if w.entry.Draining {
			m.evacuate(w)
		}
		m.noteHoldingAttempts(w)
		for _, a := range w.attempts.All() {
			if a.phase == phaseRunning && w.unreachableSince.IsZero() {
				w.health.recordSurvival(a.startedAt, m.now)
			}
			if a.stalled(m.now) {
				w.health.recordFailure(m.now)
				a.task.failedOn = w
				m.requestStop(a, fmt.Sprintf("stands still at %d%%", a.percent))
			}
		}
	}
}

// stalled reports whether the attempt has not advanced for long, although its
// worker answers.
func (a *attempt) stalled(now time.Time) bool {
	if a.phase != phaseRunning || a.task == nil || !a.worker.unreachableSince.IsZero() {
		return false
	}
	if a.percent >= 100 || a.throttle < fullSpeed || a.step().spec.Gang {
		return false
	}
	limit := stallTimeout
	if a.bestEffortCPU > 0 {
		limit = bestEffortStallTimeout
	}
	return now.Sub(a.lastAdvance()) > limit
}

// lastAdvance returns when the attempt was started or last advanced, as far as is
// known.
func (a *attempt) lastAdvance() time.Time {
	if a.startedAt.After(a.advancedAt) {
		return a.startedAt
	}
	return a.advancedAt
}

// inheritedStall is what an earlier leader saw of an attempt that stands still.
type inheritedStall struct {
	percent int
	since   time.Time
}

// applyInheritedStall counts the time without progress on that an earlier leader saw.
func (a *attempt) applyInheritedStall(percent int) {
	still, ok := a.worker.inheritedStalls[a.key]
	delete(a.worker.inheritedStalls, a.key)
	if ok && still.percent == percent {
		a.startedAt, a.advancedAt, a.percent = still.since, still.since, percent
	}
}

// evacuate moves what a leaving worker would end. Long-running tasks go at
// once; others go if they resume where they were stopped, and are not likely to
// be done in time.
func (m *Machine) evacuate(w *worker) {
	for _, a := range w.attempts.All() {
		if a.phase != phaseRunning || a.task == nil || a.step().spec.Gang {
			continue
		}
		spec := a.step().spec
		switch {
		case spec.LongRunning:
			m.requestStop(a, "its worker leaves")
		case spec.Checkpointing && a.remaining(m.now) > w.entry.Remaining:
			m.requestStop(a, "its worker leaves before it is done")
		}
	}
}

// remaining estimates how long the attempt still takes, by its pace so far.
func (a *attempt) remaining(now time.Time) time.Duration {
	if a.percent <= 0 {
		return time.Duration(a.step().spec.EstimateMs) * time.Millisecond
	}
	return now.Sub(a.startedAt) * time.Duration(100-a.percent) / time.Duration(a.percent)
}
