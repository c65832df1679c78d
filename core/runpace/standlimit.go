package runpace

import (
	"cmp"
	"math"
	"time"
)

const (
	// observedPercents is how many percents' time a run may stand still if it is
	// known how long one takes: a tenth of the run.
	observedPercents = 10
	// estimatedPercents is the same if only the estimate is known. It is a quarter of
	// the run as estimated, which the objectives of all queues allow for; tasks that
	// take ten times as long are not stopped by it.
	estimatedPercents = 25
	// maxTime keeps products within a time.Duration.
	maxTime = 365 * 24 * time.Hour
)

// Known is what is known of the pace of a run.
type Known struct {
	// Least is for how long it may stand still by nothing but its kind.
	Least time.Duration
	// Slowest is the longest time that it took itself for a percent, Usual the mean time
	// that the runs of its step take, Estimated what one takes by the estimate. Each is 0
	// if it is unknown.
	Slowest, Usual, Estimated time.Duration
	// ImageRatio is how many times as long as estimated the runs of its image take, if
	// ImageKnown is set.
	ImageRatio float64
	ImageKnown bool
	// WorkerSlowness returns how many times as long as elsewhere the runs on its worker
	// take.
	WorkerSlowness func() float64
	// Doublings is how often the limit is doubled.
	Doublings int
}

// StandLimit returns for how much working time a run may make no progress.
func (k Known) StandLimit() time.Duration {
	return max(k.Least, Scale(k.expectedStand(), math.Exp2(float64(k.Doublings))))
}

// expectedStand returns for how long the run may make no progress by what is known of its
// pace; Least if nothing is.
func (k Known) expectedStand() time.Duration {
	switch {
	case k.Slowest > 0:
		return observedPercents * k.Slowest
	case k.Usual > 0:
		return Scale(observedPercents*k.Usual, k.WorkerSlowness())
	case k.Estimated == 0:
		return k.Least
	case k.ImageKnown:
		return Scale(observedPercents*k.Estimated, k.ImageRatio*k.WorkerSlowness())
	default:
		return Scale(estimatedPercents*k.Estimated, k.WorkerSlowness())
	}
}

// Doublings returns how often the limit that follows from the estimate has to be doubled to
// reach the one that follows from perPercent; 0 if that is at most least.
func Doublings(perPercent, estimated, least time.Duration) int {
	wanted := observedPercents * perPercent
	if wanted <= least {
		return 0
	}
	from := cmp.Or(estimatedPercents*estimated, least)
	return max(0, int(math.Ceil(math.Log2(float64(wanted)/float64(from)))))
}

// ShouldHaveAdvanced reports whether a run that has stood still for the given time should
// have advanced, as others take perPercent; 0 if that is unknown.
func ShouldHaveAdvanced(perPercent, stood time.Duration) bool {
	return perPercent > 0 && stood >= observedPercents*perPercent
}

// Scale returns d times factor, at most a year.
func Scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, float64(maxTime)))
}
