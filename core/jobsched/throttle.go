package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/throttle"
)

// fullSpeed is the share, in percent, of an attempt that is not throttled.
const fullSpeed = throttle.FullSpeed

const (
	// moveAfter is how long disturbing work is held at a share of 0 before it is
	// moved.
	moveAfter = 600 * time.Millisecond
	// maxMoveLoss is the progress, in percent, from which an attempt without
	// checkpoints is no longer moved.
	maxMoveLoss = 30
)

// hasServingTasks reports whether a task with a latency target is on the worker.
func (w *worker) hasServingTasks() bool { return w.servingTasks > 0 }

// adjustThrottle updates the shares for the worker's best-effort work by the readings of a
// new report.
func (m *Machine) adjustThrottle(w *worker) {
	w.throttle.Measure(m.now, m.worstPressure(w))
	w.throttle.Adjust(m.now, throttle.Work{
		Allowed:  func() int { return m.allowedShare(w) },
		Disturbs: func() bool { return m.hasDisturbingWork(w) },
		// A reading covers the last half second, so the first one that shows the
		// change comes after the throttle delay plus that time.
		ShownAfter: m.options.ThrottleDelay + renewWait,
	})
}

// worstPressure returns the worst ratio of a reading to its target. Tasks that the worker
// alone keeps from their targets do not count: to throttle others would not help them.
func (m *Machine) worstPressure(w *worker) float64 {
	worst := 0.0
	for _, a := range w.attempts.All() {
		if a.serving() && !m.missesTargetAlone(a) {
			worst = max(worst, float64(a.reading)/float64(a.step().spec.LatencyTargetMs))
		}
	}
	return worst
}

// hasDisturbingWork reports whether a best-effort attempt on w is known to disturb.
func (m *Machine) hasDisturbingWork(w *worker) bool {
	for _, a := range w.attempts.All() {
		if m.disturbs(a) {
			return true
		}
	}
	return false
}

// disturbs reports whether the attempt is best-effort work that is known to slow
// down a serving task on its worker.
func (m *Machine) disturbs(a *attempt) bool {
	if a.bestEffortCPU == 0 || a.task == nil {
		return false
	}
	return m.worstEffect(a.worker, m.imageOf(a.step()), a.bestEffortCPU) > harmfulEffect
}

// wantedShare returns the share, in percent, at which an attempt should run.
func (m *Machine) wantedShare(a *attempt) int {
	share := a.worker.throttle.Other
	if m.disturbs(a) {
		share = a.worker.throttle.Disturbing
	}
	if a.overcommitted {
		share = min(share, overcommittedShare)
	}
	return share
}

// sendThrottles sends the shares that have changed, and moves work that has been
// held at a share of 0 for too long.
func (m *Machine) sendThrottles() {
	searches, unknown := moveSearchesPerSweep, unknownSharesPerSweep
	for _, w := range m.workers.All() {
		if w.bestEffortCPU == 0 {
			continue
		}
		for _, a := range w.attempts.All() {
			if a.bestEffortCPU == 0 || a.phase != phaseRunning || a.task == nil || a.throttlePending {
				continue
			}
			a.endOvercommit()
			if a.throttleUnknown {
				unknown--
			}
			if share := m.wantedShare(a); share != a.throttle || a.throttleUnknown && unknown >= 0 {
				a.throttlePending = true
				m.emit(Throttle{Order: m.order(w), Key: a.key.task, Attempt: a.key.attempt, Percent: share})
			} else if share == 0 && m.now.Sub(a.throttledAt) > moveAfter && !m.mayMoveInVain(a) && m.movable(a, &searches) {
				m.requestStop(a, stopDisturbing, "it slows down the tasks beside it")
			}
		}
	}
}

// mayMoveInVain reports whether to move the attempt may help nobody, since it is not
// known yet if the tasks beside it are slow because of their worker.
func (m *Machine) mayMoveInVain(a *attempt) bool {
	return a.worker.maybeSlow(m.now) && m.now.Sub(a.throttledAt) <= moveAfter+maybeSlowMoveDelay
}

// maybeSlowMoveDelay is how long disturbing work at a share of 0 stays on a worker that
// may be slow itself: readings without it arrive, and enough of them to tell.
const maybeSlowMoveDelay = 2 * time.Second

// moveRetry is the time between two searches for another worker for such an
// attempt: each checks all workers.
const moveRetry = 500 * time.Millisecond

// unknownSharesPerSweep is how many attempts a sweep tells their share that an earlier
// leader may have throttled. A takeover adopts hundreds at once, when starts and
// renewals are due as well.
const unknownSharesPerSweep = 16

// moveSearchesPerSweep is how many such searches a sweep makes.
const moveSearchesPerSweep = 64

// movable reports whether stopping the attempt loses little work and another worker
// is feasible for it. searches is the number of searches left in the sweep.
func (m *Machine) movable(a *attempt, searches *int) bool {
	if !a.step().spec.Checkpointing && a.percent >= maxMoveLoss {
		return false
	}
	if *searches <= 0 || m.now.Before(a.nextMoveAt) {
		return false
	}
	*searches--
	a.nextMoveAt = m.now.Add(moveRetry)
	for _, w := range m.workers.All() {
		if w != a.worker && m.isFeasible(a.task, w) {
			return true
		}
	}
	return false
}

func (m *Machine) throttled(ev Throttled) {
	w, a := m.findAttempt(ev.AttemptName)
	if a == nil {
		return
	}
	a.throttlePending = false
	switch ev.Verdict {
	case VerdictDone:
		if a.throttle != 0 || ev.Percent != 0 {
			a.throttledAt = m.now
		}
		a.throttle, a.throttleUnknown = ev.Percent, false
		w.tails.stale = true
		if a.learnKey.Generation != 0 {
			m.learner.TaskThrottled(m.now, w.learnID(), a.learnKey, a.presentWeight())
		}
	case VerdictFenced:
		m.depose(w)
	}
}
