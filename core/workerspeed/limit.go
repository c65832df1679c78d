package workerspeed

import (
	"math"
	"time"
)

// Limit returns the slowness up to which a worker is used for a task that takes the given
// time on a normal one and has to end within left. On a slower worker it would end too
// late, and later than if it waited for a normal one for the given time. A limit that no
// worker exceeds is infinite; others are rounded down to one of a few values, so that many
// tasks share what is found out with one of them.
func Limit(takes, left, wait time.Duration) float64 {
	inTime := float64(left) / float64(takes)
	asGoodAsWaiting := 1 + float64(wait)/float64(takes)
	limit := max(inTime, asGoodAsWaiting, 1)
	if limit >= MaxSlowness {
		return math.Inf(1)
	}
	return math.Exp2(math.Floor(2*math.Log2(limit)) / 2)
}
