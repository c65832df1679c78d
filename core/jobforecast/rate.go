package jobforecast

import (
	"math"
	"time"
)

// Rate is an amount per time in which older amounts count less and less.
type Rate struct {
	// memory is how long ago an amount counts 1/e.
	memory time.Duration
	// fresh is the amount since the last Pass. sum is the weighted amount before that,
	// and spanMs the weighted time, in milliseconds.
	fresh, sum, spanMs float64
}

// NewRate returns a rate over about the given time.
func NewRate(memory time.Duration) Rate { return Rate{memory: memory} }

// Add counts an amount.
func (r *Rate) Add(amount float64) { r.fresh += amount }

// Pass lets time pass, in which the amount since the last Pass has come.
func (r *Rate) Pass(d time.Duration) {
	keep := math.Exp(-d.Seconds() / r.memory.Seconds())
	r.sum, r.fresh = r.sum*keep+r.fresh, 0
	r.spanMs = r.spanMs*keep + float64(d.Milliseconds())
}

// PerMs returns the amount per millisecond, 0 before any time has passed.
func (r *Rate) PerMs() float64 {
	if r.spanMs == 0 {
		return 0
	}
	return r.sum / r.spanMs
}
