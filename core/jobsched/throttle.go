package jobsched

import "time"

// fullSpeed is the share of an attempt that is not throttled, in percent.
const fullSpeed = 100

// throttleState follows how far the best-effort work of a worker is throttled
// for the sake of its long-running tasks. Readings are late and rough, so the
// share is cut at once and given back slowly.
type throttleState struct {
	percent int
	// pressure is the worst reading over its target, smoothed.
	pressure float64
	changeAt time.Time
}

const (
	// pressureHigh and pressureLow are the parts of the latency target above
	// which best-effort work is slowed, and below which it is let go.
	pressureHigh = 0.75
	pressureLow  = 0.5
	// throttleStep is what is given back at a time, in percent.
	throttleStep = 20
	// throttleFloor is the share below which work is stopped altogether: what
	// goes on at a crawl still disturbs.
	throttleFloor = 15
	// pressureWeight is the weight of a new, lower reading.
	pressureWeight = 0.5
)

// serves reports whether a task with a latency target runs there.
func (w *worker) serves() bool {
	for _, a := range w.attempts {
		if s := a.step(); s != nil && s.spec.LatencyTargetMs > 0 {
			return true
		}
	}
	return false
}

// measurePressure takes in the readings of a new report.
func (w *worker) measurePressure() {
	worst := 0.0
	for _, a := range w.attempts {
		s := a.step()
		if s == nil || s.spec.LatencyTargetMs == 0 || a.phase != phaseRunning {
			continue
		}
		worst = max(worst, float64(a.reading)/float64(s.spec.LatencyTargetMs))
	}
	t := &w.throttle
	if worst > t.pressure {
		t.pressure = worst
	} else {
		t.pressure += (worst - t.pressure) * pressureWeight
	}
}

// adjustThrottle decides the share for the worker's best-effort work.
func (m *Machine) adjustThrottle(w *worker) {
	w.measurePressure()
	t := &w.throttle
	if m.now.Before(t.changeAt) {
		return
	}
	before := t.percent
	switch {
	case t.pressure > pressureHigh && t.percent > 0:
		t.percent /= 2
		if t.percent < throttleFloor {
			t.percent = 0
		}
	case t.pressure < pressureLow && t.percent < fullSpeed:
		t.percent = min(t.percent+throttleStep, fullSpeed)
	}
	if t.percent != before {
		// A reading covers the last half second: the next one that shows the
		// change comes after the delay and that long.
		t.changeAt = m.now.Add(m.options.ThrottleDelay + renewWait)
	}
}

// sendThrottles tells the workers the shares that they do not have yet.
func (m *Machine) sendThrottles() {
	for _, w := range m.workers {
		for _, a := range w.attempts {
			if a.bestEffortCPU == 0 || a.phase != phaseRunning || a.throttlePending || a.throttle == w.throttle.percent {
				continue
			}
			a.throttlePending = true
			m.emit(Throttle{Order: m.order(w), Key: a.key.task, Attempt: a.key.attempt, Percent: w.throttle.percent})
		}
	}
}

func (m *Machine) throttled(ev Throttled) {
	w, a := m.find(ev.AttemptName)
	if a == nil {
		return
	}
	a.throttlePending = false
	switch ev.Verdict {
	case VerdictDone:
		a.throttle = ev.Percent
	case VerdictFenced:
		m.depose(w)
	}
}
