package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/workerspeed"
)

// learnSpeedFromReadings learns from the readings of the worker's serving tasks in a new
// report. Those beside best-effort work that is not throttled to a share of 0 show only
// how slow the worker is at most.
func (m *Machine) learnSpeedFromReadings(w *worker) {
	if !m.options.Policies.WorkerSpeeds {
		return
	}
	if w.hasBestEffortAtWork() {
		w.speed.bestEffortAt = m.now
	}
	evidence := workerspeed.AtMost
	if w.isUndisturbed(m.now) {
		evidence = workerspeed.Exact
	}
	for _, a := range w.attempts.All() {
		if !a.serving() {
			a.overSince = time.Time{}
			continue
		}
		a.measureOver(m.now)
		usual := m.usualReading(a.step())
		if usual == 0 {
			continue
		}
		slowness := float64(a.reading) / usual
		if evidence == workerspeed.Exact {
			a.aloneSlowness = slowness
		}
		w.speed.learned.Observe(m.now, a.source(), slowness, evidence)
		w.speed.apparent.Observe(m.now, a.source(), slowness, workerspeed.Exact)
	}
}

// isBestEffortAtWork reports whether the attempt is best-effort work that may work, since
// it is not known to be throttled to a share of 0.
func (a *attempt) isBestEffortAtWork() bool {
	return a.bestEffortCPU > 0 && (a.throttle > 0 || a.throttleUnknown)
}

// recordBestEffortEnd records that the attempt, if it is best-effort work, was at work until
// now: it may have begun and ended between two reports.
func (w *worker) recordBestEffortEnd(now time.Time, a *attempt) {
	if a.isBestEffortAtWork() {
		w.speed.bestEffortAt = now
	}
}

// hasBestEffortAtWork reports whether a best-effort attempt on the worker is not throttled
// to a share of 0.
func (w *worker) hasBestEffortAtWork() bool {
	if w.bestEffortCPU == 0 {
		return false
	}
	for _, a := range w.attempts.All() {
		if a.isBestEffortAtWork() {
			return true
		}
	}
	return false
}

// measureOver updates since when the attempt has been over its target.
func (a *attempt) measureOver(now time.Time) {
	switch {
	case a.reading <= a.step().spec.LatencyTargetMs:
		a.overSince = time.Time{}
	case a.overSince.IsZero():
		a.overSince = now
	}
}

// usualReadingInterval is how long the usual reading of a step is kept: the readings
// themselves cover half a second.
const usualReadingInterval = 200 * time.Millisecond

// usualReading returns the reading, in milliseconds, that is usual for the step's serving
// tasks now on workers that are not known to be slow: the lower quartile, since some may
// be slow nevertheless. It is taken from all of them, or from those without best-effort
// work beside them if these are faster: most may be disturbed, but where best-effort work
// is throttled to a share of 0 most are on slow workers. It is 0 with too few readings.
func (m *Machine) usualReading(s *step) float64 {
	if m.now.Sub(s.usualReadingAt) < usualReadingInterval {
		return s.usualReading
	}
	s.usualReading, s.usualReadingAt = 0, m.now
	all, undisturbed := make([]int64, 0, len(s.tasks)), make([]int64, 0, len(s.tasks))
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			if a.serving() && m.now.Sub(a.readAt) < maxReadingAge && !a.worker.isSlow() {
				all = append(all, a.reading)
				if a.worker.isUndisturbed(m.now) {
					undisturbed = append(undisturbed, a.reading)
				}
			}
		}
	}
	if len(all) >= minPeers {
		s.usualReading = lowerQuartile(all)
	}
	if len(undisturbed) >= minPeers {
		s.usualReading = min(s.usualReading, lowerQuartile(undisturbed))
	}
	return s.usualReading
}

// lowerQuartile returns the lower quartile of the readings, which it sorts.
func lowerQuartile(readings []int64) float64 {
	slices.Sort(readings)
	return float64(readings[(len(readings)-1)/4])
}

// missesTargetAlone reports whether the worker's slowness keeps the serving attempt from
// its target by a margin, whatever runs beside it: what its step's undisturbed tasks show
// elsewhere, times the slowness, is well above the target, and so is its own reading. The
// tails of some images grow more by a worker's slowness than those of others, so its own
// last reading without best-effort work beside it has to show that slowness too.
func (m *Machine) missesTargetAlone(a *attempt) bool {
	if !a.worker.isSlow() || !a.serving() {
		return false
	}
	alone := m.baselineReading(a.step()) * min(m.slownessOf(a.worker), a.aloneSlowness)
	limit := missesTargetFrom * float64(a.step().spec.LatencyTargetMs)
	return alone >= limit && float64(a.reading) >= limit
}

// missesTargetFrom is the tail, as a fraction of the target, from which a serving task
// certainly misses it: readings of undisturbed tasks differ by a tenth, and so do those
// that they are compared with.
const missesTargetFrom = 1.25
