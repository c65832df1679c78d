package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/runpace"
)

const (
	// stallTimeout is the shortest time for which an attempt reports no progress
	// before it is stopped and started elsewhere.
	stallTimeout = 1500 * time.Millisecond
	// bestEffortStallTimeout is the same for best-effort work, which may find no
	// processor free.
	bestEffortStallTimeout = 5 * time.Second
)

// checkAttempts stops stalled attempts and those that a draining worker would cut
// short. It also updates the health of workers and notes attempts whose workers are
// unreachable.
func (m *Machine) checkAttempts() {
	for _, w := range m.workers.All() {
		if w.entry.Draining {
			m.stopBeforeDeparture(w)
		}
		m.noteHoldingAttempts(w)
		for _, a := range w.attempts.All() {
			if a.phase == phaseRunning && w.unreachableSince.IsZero() && a.showsLife() {
				w.health.RecordSurvival(a.startedAt, m.now)
			}
			if m.isStalled(a) {
				m.stopStalledAttempt(a)
			}
		}
	}
}

// showsLife reports whether the attempt has made progress under this leader, as far as
// its reports can tell.
func (a *attempt) showsLife() bool {
	return a.pace.advanced || a.percent >= runpace.FullPercent || a.task == nil || a.step().spec.Gang
}

// isStalled reports whether the attempt has made no progress for too long although
// its worker is reachable.
func (m *Machine) isStalled(a *attempt) bool {
	if a.phase != phaseRunning || a.task == nil || a.percent >= runpace.FullPercent || a.step().spec.Gang {
		return false
	}
	a.work(m.now)
	if a.pace.stood <= leastStallLimit(a) || !a.worker.unreachableSince.IsZero() {
		return false
	}
	return a.pace.stood > m.stallLimit(a)
}

// stopStalledAttempt stops an attempt that makes no progress, so that its task is
// started elsewhere.
func (m *Machine) stopStalledAttempt(a *attempt) {
	t := a.task
	t.stalls = a.doublings() + 1
	t.step.pace.doublings = max(t.step.pace.doublings, t.stalls)
	t.failedOn = a.worker
	m.suspectWorker(a)
	m.requestStop(a, stopStalled, fmt.Sprintf("stands still at %d%% for %s", a.percent, a.pace.stood.Round(time.Millisecond)))
}

// lastAdvance returns the later of the attempt's start and its last progress, as
// far as known.
func (a *attempt) lastAdvance() time.Time {
	if a.startedAt.After(a.advancedAt) {
		return a.startedAt
	}
	return a.advancedAt
}

// inheritedStall is the lack of progress of an attempt that an earlier leader
// recorded.
type inheritedStall struct {
	percent int
	since   time.Time
}

// applyInheritedStall continues the stall that an earlier leader recorded, if the
// attempt has made no progress since.
func (a *attempt) applyInheritedStall(percent int) {
	stall, ok := a.worker.inheritedStalls[a.key]
	delete(a.worker.inheritedStalls, a.key)
	if ok && stall.percent == percent {
		a.startedAt, a.advancedAt = stall.since, stall.since
		a.pace.stood = a.pace.stoodAt.Sub(stall.since)
		// The time since then is part of what was seen before.
		a.seenBefore = 0
	}
}

// stopBeforeDeparture stops attempts that a draining worker would cut short, so that
// they run elsewhere. Long-running tasks are stopped at once. Others are stopped only if
// they resume from a checkpoint and are unlikely to finish in the remaining time.
func (m *Machine) stopBeforeDeparture(w *worker) {
	for _, a := range w.attempts.All() {
		if a.phase != phaseRunning || a.task == nil || a.step().spec.Gang {
			continue
		}
		spec := a.step().spec
		switch {
		case spec.LongRunning:
			m.requestStop(a, stopWorkerLeaves, "its worker leaves")
		case spec.Checkpointing && a.remaining(m.now) > w.entry.Remaining:
			m.requestStop(a, stopWorkerLeaves, "its worker leaves before it is expected to finish")
		}
	}
}

// remaining estimates the attempt's remaining run time from its progress so far, or
// from the step's estimate if it has made none.
func (a *attempt) remaining(now time.Time) time.Duration {
	if a.percent <= 0 {
		return time.Duration(a.step().spec.EstimateMs) * time.Millisecond
	}
	return now.Sub(a.startedAt) * time.Duration(100-a.percent) / time.Duration(a.percent)
}
