package speculation

import (
	"slices"
	"time"
)

const (
	// minPeers is how many other tasks of a step must tell how long one takes before
	// their median is relied on: one alone may be as slow as the one in question.
	minPeers = 2
	// estimateDoubt is how many times as long as estimated a run is assumed to take
	// while no other task of the step tells: estimates are rough, and a copy of a task
	// that is merely longer than estimated takes just as long.
	estimateDoubt = 2
)

// Usual returns how long a task of a step takes on a usual worker: the median of runs if
// there are minPeers of them. runs holds how long other tasks of the step took, or are
// expected to take as they advance; the function sorts it. estimate is the run time by
// the caller's estimate, 0 without one. The result is 0 if nothing is known.
func Usual(runs []time.Duration, estimate time.Duration) time.Duration {
	switch n := len(runs); {
	case n >= minPeers:
		slices.Sort(runs)
		return runs[n/2]
	case n > 0:
		return max(runs[0], estimate)
	}
	return estimateDoubt * estimate
}
