package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/runpace"
)

// maxStallSlowness bounds how many times as long a slow worker is assumed to take.
const maxStallSlowness = 10

// stallLimit returns for how much working time the attempt may make no progress. It is
// doubled each time that one of the task was stopped in vain, so that tasks of any
// length end: together these lose less than twice the time of the first percent that
// is waited for.
func (m *Machine) stallLimit(a *attempt) time.Duration {
	s := a.step()
	ratio, known := m.imagePaces[s.spec.Image]
	return runpace.Known{
		Least: leastStallLimit(a), Slowest: a.pace.slowest, Usual: s.pace.sum.PerPercent(),
		Estimated: runpace.EstimatedPercent(s.spec), ImageRatio: ratio, ImageKnown: known,
		WorkerSlowness: a.worker.stallSlowness, Doublings: a.doublings(),
	}.StandLimit()
}

func leastStallLimit(a *attempt) time.Duration {
	if a.bestEffortCPU > 0 {
		return bestEffortStallTimeout
	}
	return stallTimeout
}

// doublingsOfPace returns how often the stall limit that follows from the estimate has to
// be doubled to reach the one that follows from the step's pace; 0 if that is the least.
func (s *step) doublingsOfPace() int {
	return runpace.Doublings(s.pace.sum.PerPercent(), runpace.EstimatedPercent(s.spec), stallTimeout)
}

// doublings returns how often the stall limit of the attempt is doubled. Without a pace
// of the step, what its other tasks have stood in vain counts as well.
func (a *attempt) doublings() int {
	if a.step().pace.sum.Percents > 0 {
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
		if a.task == nil || a.pace.own.Percents == 0 {
			continue
		}
		if usual := a.step().pace.sum.PerPercent(); usual > 0 {
			slowest = max(slowest, float64(a.pace.own.PerPercent())/float64(usual))
		}
	}
	return min(slowest, maxStallSlowness)
}
