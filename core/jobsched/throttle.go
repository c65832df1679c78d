package jobsched

import "time"

// fullSpeed is the share, in percent, of an attempt that is not throttled.
const fullSpeed = 100

// throttleState is how far the best-effort work of a worker is throttled to protect
// its long-running tasks. Readings are late and imprecise, so shares are reduced at
// once and raised slowly.
type throttleState struct {
	// disturbingPercent is the share of the attempts that are known to disturb.
	// otherPercent is that of the other best-effort attempts, which is reduced only
	// if that was not enough.
	disturbingPercent, otherPercent int
	// pressure is the worst ratio of a reading to its target, smoothed. overSince
	// is since when it has been above 1; zero if it is not. changeAt is when the
	// shares may be changed again.
	pressure            float64
	overSince, changeAt time.Time
}

const (
	// pressureHigh is the fraction of the latency target above which disturbing
	// work is slowed at once; pressureLow is the one below which shares are raised.
	pressureHigh = 1.05
	pressureLow  = 0.93
	// pressureAim is the fraction of the target that a reduction aims at.
	pressureAim = 0.93
	// pressureOver is the fraction above which work that is not known to disturb is
	// slowed too.
	pressureOver = 1.15
	// sustainedOverTime is how long a task may be slightly above its target before
	// work is slowed anyway: a quarter of what the platform allows, which leaves
	// time for several reductions. Those aim at sustainedOverAim.
	sustainedOverTime = time.Second
	sustainedOverAim  = 0.75
	// longOverTime is how long a task may be above its target before all best-effort work
	// beside it is stopped, known to disturb or not: half of what the platform allows.
	// Readings come up to a second late.
	longOverTime = 2 * time.Second
	// throttleStep is by how much a share is raised at a time, in percent.
	throttleStep = 25
	// throttleFloor is the share, in percent, below which work is stopped
	// altogether: even at a very low speed it still disturbs.
	throttleFloor = 10
	// pressureWeight is the weight of a new reading that is lower than the smoothed
	// value.
	pressureWeight = 0.7
	// moveAfter is how long disturbing work is held at a share of 0 before it is
	// moved.
	moveAfter = 600 * time.Millisecond
	// maxMoveLoss is the progress, in percent, from which an attempt without
	// checkpoints is no longer moved.
	maxMoveLoss = 30
)

// hasServingTasks reports whether a task with a latency target is on the worker.
func (w *worker) hasServingTasks() bool { return w.servingTasks > 0 }

// measurePressure updates the pressure from the readings of a new report. Tasks that the
// worker alone keeps from their targets do not count: to throttle others would not help
// them.
func (m *Machine) measurePressure(w *worker) {
	worst := 0.0
	for _, a := range w.attempts.All() {
		if a.serving() && !m.missesTargetAlone(a) {
			worst = max(worst, float64(a.reading)/float64(a.step().spec.LatencyTargetMs))
		}
	}
	t := &w.throttle
	if worst > t.pressure {
		t.pressure = worst
	} else {
		t.pressure += (worst - t.pressure) * pressureWeight
	}
	switch {
	case t.pressure <= 1:
		t.overSince = time.Time{}
	case t.overSince.IsZero():
		t.overSince = m.now
	}
}

// isOverFor reports whether a task has been above its target for the given time.
func (t *throttleState) isOverFor(now time.Time, duration time.Duration) bool {
	return !t.overSince.IsZero() && now.Sub(t.overSince) >= duration
}

// limits returns the pressures above which known disturbing work and other
// best-effort work are slowed, and the pressure that a reduction aims at.
func (t *throttleState) limits(now time.Time) (disturbing, other, aim float64) {
	if t.isOverFor(now, sustainedOverTime) {
		return 1, 1, sustainedOverAim
	}
	return pressureHigh, pressureOver, pressureAim
}

// adjustThrottle updates the shares for the worker's best-effort work.
func (m *Machine) adjustThrottle(w *worker) {
	m.measurePressure(w)
	t := &w.throttle
	if t.isOverFor(m.now, longOverTime) {
		t.disturbingPercent, t.otherPercent = 0, 0
		return
	}
	fitting := m.allowedShare(w)
	t.disturbingPercent = min(t.disturbingPercent, fitting)
	if m.now.Before(t.changeAt) {
		return
	}
	before := *t
	disturbingLimit, otherLimit, aim := t.limits(m.now)
	switch {
	case t.pressure > otherLimit && (t.disturbingPercent == 0 || !m.hasDisturbingWork(w)):
		t.otherPercent = reduceShare(t.otherPercent, aim/t.pressure)
	case t.pressure > disturbingLimit:
		t.disturbingPercent = reduceShare(t.disturbingPercent, aim/t.pressure)
	case t.pressure < pressureLow && t.otherPercent < fullSpeed:
		t.otherPercent = min(t.otherPercent+throttleStep, fullSpeed)
	case t.pressure < pressureLow:
		t.disturbingPercent = min(t.disturbingPercent+throttleStep, fitting)
	}
	if t.disturbingPercent != before.disturbingPercent || t.otherPercent != before.otherPercent {
		// A reading covers the last half second, so the first one that shows the
		// change comes after the throttle delay plus that time.
		t.changeAt = m.now.Add(m.options.ThrottleDelay + renewWait)
	}
}

// reduceShare returns a lower share, given the ratio of the intended to the present
// pressure. Tails grow faster than the disturbance, so the share is multiplied by
// the square of the ratio.
func reduceShare(percent int, ratio float64) int {
	percent = int(float64(percent) * ratio * ratio)
	if percent < throttleFloor {
		return 0
	}
	return percent
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
	share := a.worker.throttle.otherPercent
	if m.disturbs(a) {
		share = a.worker.throttle.disturbingPercent
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
