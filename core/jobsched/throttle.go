package jobsched

import "time"

// fullSpeed is the share of an attempt that is not throttled, in percent.
const fullSpeed = 100

// throttleState follows how far the best-effort work of a worker is throttled
// for the sake of its long-running tasks. Readings are late and rough, so the
// share is cut at once and given back slowly.
type throttleState struct {
	// disturbingPercent is for the attempts that are known to disturb, otherPercent for the
	// rest, which is cut only when that was not enough.
	disturbingPercent, otherPercent int
	// pressure is the worst reading over its target, smoothed; overSince is since
	// when it is above the target, zero when it is not.
	pressure            float64
	overSince, changeAt time.Time
}

const (
	// pressureHigh and pressureLow are the parts of the latency target above
	// which best-effort work is slowed at once, and below which it is let go.
	pressureHigh = 1.05
	pressureLow  = 0.93
	// pressureAim is the part of the target that a cut aims at.
	pressureAim = 0.93
	// pressureOver is the part from which work that is not known to disturb is
	// slowed too.
	pressureOver = 1.15
	// sustainedOverTime is how long a task may be a little above its target before work is
	// slowed all the same: a quarter of what the platform allows, so that several
	// cuts come in time. They aim at longOverAim then.
	sustainedOverTime = time.Second
	sustainedOverAim  = 0.75
	// throttleStep is what is given back at a time, in percent.
	throttleStep = 25
	// throttleFloor is the share below which work is stopped altogether: what
	// goes on at a crawl still disturbs.
	throttleFloor = 10
	// pressureWeight is the weight of a new, lower reading.
	pressureWeight = 0.7
	// moveAfter is how long work that disturbs stands still before it is moved.
	moveAfter = 600 * time.Millisecond
	// maxMoveLoss is how much of its work, in percent, an attempt without
	// checkpoints may lose by being moved.
	maxMoveLoss = 30
)

// hasServingTasks reports whether a task with a latency target runs there.
func (w *worker) hasServingTasks() bool { return w.servingTasks > 0 }

// measurePressure takes in the readings of a new report.
func (w *worker) measurePressure(now time.Time) {
	worst := 0.0
	for _, a := range w.attempts.All() {
		if a.serving() {
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
		t.overSince = now
	}
}

// limits tells from which pressures on the worker's work is slowed, that which is
// known to disturb and the rest, and what a cut aims at.
func (t *throttleState) limits(now time.Time) (high, over, aim float64) {
	if !t.overSince.IsZero() && now.Sub(t.overSince) >= sustainedOverTime {
		return 1, 1, sustainedOverAim
	}
	return pressureHigh, pressureOver, pressureAim
}

// adjustThrottle decides the shares for the worker's best-effort work.
func (m *Machine) adjustThrottle(w *worker) {
	w.measurePressure(m.now)
	t := &w.throttle
	fitting := m.allowedShare(w)
	t.disturbingPercent = min(t.disturbingPercent, fitting)
	if m.now.Before(t.changeAt) {
		return
	}
	before := *t
	high, over, aim := t.limits(m.now)
	switch {
	case t.pressure > over && (t.disturbingPercent == 0 || !m.hasDisturbingWork(w)):
		t.otherPercent = reduceShare(t.otherPercent, aim/t.pressure)
	case t.pressure > high:
		t.disturbingPercent = reduceShare(t.disturbingPercent, aim/t.pressure)
	case t.pressure < pressureLow && t.otherPercent < fullSpeed:
		t.otherPercent = min(t.otherPercent+throttleStep, fullSpeed)
	case t.pressure < pressureLow:
		t.disturbingPercent = min(t.disturbingPercent+throttleStep, fitting)
	}
	if t.disturbingPercent != before.disturbingPercent || t.otherPercent != before.otherPercent {
		// A reading covers the last half second: the next one that shows the
		// change comes after the delay and that long.
		t.changeAt = m.now.Add(m.options.ThrottleDelay + renewWait)
	}
}

// reduceShare returns a lower share, by the part of the pressure that is aimed at.
// Tails grow faster than the disturbance, so the square of what is too much is
// taken off.
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

// disturbs reports whether the attempt is best-effort work that is known to
// slow down a serving task on its worker.
func (m *Machine) disturbs(a *attempt) bool {
	if a.bestEffortCPU == 0 || a.task == nil {
		return false
	}
	return m.worstEffect(a.worker, a.step().spec.Image, a.bestEffortCPU) > harmfulEffect
}

// wantedShare returns the share at which an attempt should work.
func (m *Machine) wantedShare(a *attempt) int {
	if m.disturbs(a) {
		return a.worker.throttle.disturbingPercent
	}
	return a.worker.throttle.otherPercent
}

// sendThrottles tells the workers the shares that they do not have yet, and
// moves work that has stood still for long because it disturbs.
func (m *Machine) sendThrottles() {
	searches := moveSearchesPerSweep
	for _, w := range m.workers.All() {
		if w.bestEffortCPU == 0 {
			continue
		}
		for _, a := range w.attempts.All() {
			if a.bestEffortCPU == 0 || a.phase != phaseRunning || a.task == nil || a.throttlePending {
				continue
			}
			if share := m.wantedShare(a); share != a.throttle {
				a.throttlePending = true
				m.emit(Throttle{Order: m.order(w), Key: a.key.task, Attempt: a.key.attempt, Percent: share})
			} else if share == 0 && m.now.Sub(a.throttledAt) > moveAfter && m.movable(a, &searches) {
				m.requestStop(a, "it slows down the tasks beside it")
			}
		}
	}
}

// moveRetry is the time between two searches for another worker for an attempt
// that stands still: each looks at all workers.
const moveRetry = 500 * time.Millisecond

// moveSearchesPerSweep is how many such searches a sweep makes.
const moveSearchesPerSweep = 64

// movable reports whether little is lost when the attempt is stopped, and
// there is a worker that would take it. searches are what is left of the sweep's.
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
		a.throttle = ev.Percent
		w.tails.stale = true
		if a.learnKey.Generation != 0 {
			m.learner.TaskThrottled(m.now, w.learnID(), a.learnKey, a.presentWeight())
		}
	case VerdictFenced:
		m.depose(w)
	}
}
