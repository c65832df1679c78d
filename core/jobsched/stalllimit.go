package jobsched

import (
	"cmp"
	"math"
	"time"
)

const (
	// observedPercents is how many percents' time an attempt may stand still if it is
	// known how long one takes: a tenth of the run.
	observedPercents = 10
	// estimatedPercents is the same if only the estimate is known. It is a quarter of
	// the run as estimated, which the objectives of all queues allow for; tasks that
	// take ten times as long are not stopped by it.
	estimatedPercents = 25
	// maxStallLimit keeps products within a time.Duration.
	maxStallLimit = 365 * 24 * time.Hour
	// maxStallSlowness bounds how many times as long a slow worker is assumed to take.
	maxStallSlowness = 10
)

// stallLimit returns for how much working time the attempt may make no progress. It is
// doubled each time that one of the task was stopped in vain, so that tasks of any
// length end: together these lose less than twice the time of the first percent that
// is waited for.
func (m *Machine) stallLimit(a *attempt) time.Duration {
	least := leastStallLimit(a)
	return max(least, scale(m.expectedStand(a, least), math.Exp2(float64(a.doublings()))))
}

func leastStallLimit(a *attempt) time.Duration {
	if a.bestEffortCPU > 0 {
		return bestEffortStallTimeout
	}
	return stallTimeout
}

// expectedStand returns for how long the attempt may make no progress by what is known
// of its pace; least if nothing is.
func (m *Machine) expectedStand(a *attempt, least time.Duration) time.Duration {
	s := a.step()
	if a.pace.slowest > 0 {
		return observedPercents * a.pace.slowest
	}
	if perPercent := s.pace.sum.perPercent(); perPercent > 0 {
		return scale(observedPercents*perPercent, a.worker.stallSlowness())
	}
	estimated := estimatedPercent(s.spec)
	if estimated == 0 {
		return least
	}
	if ratio, known := m.imagePaces[s.spec.Image]; known {
		return scale(observedPercents*estimated, ratio*a.worker.stallSlowness())
	}
	return scale(estimatedPercents*estimated, a.worker.stallSlowness())
}

// doublingsOfPace returns how often the stall limit that follows from the estimate has to
// be doubled to reach the one that follows from the step's pace; 0 if that is the least.
func (s *step) doublingsOfPace() int {
	wanted := observedPercents * s.pace.sum.perPercent()
	if wanted <= stallTimeout {
		return 0
	}
	from := cmp.Or(estimatedPercents*estimatedPercent(s.spec), stallTimeout)
	return max(0, int(math.Ceil(math.Log2(float64(wanted)/float64(from)))))
}

// scale returns d times factor, at most maxStallLimit.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, float64(maxStallLimit)))
}

// doublings returns how often the stall limit of the attempt is doubled. Without a pace
// of the step, what its other tasks have stood in vain counts as well.
func (a *attempt) doublings() int {
	if a.step().pace.sum.percents > 0 {
		return a.task.stalls
	}
	return a.pace.doublings
}

// stallSlowness returns how many times as long as elsewhere the attempts on the worker
// take, by the one that is slowest against its step. It only lengthens stall limits, which
// must not be too short; what else depends on the speed of a worker uses slownessOf.
func (w *worker) stallSlowness() float64 {
	slowest := 1.0
	for _, a := range w.attempts.All() {
		if a.task == nil || a.pace.own.percents == 0 {
			continue
		}
		if usual := a.step().pace.sum.perPercent(); usual > 0 {
			slowest = max(slowest, float64(a.pace.own.perPercent())/float64(usual))
		}
	}
	return min(slowest, maxStallSlowness)
}
