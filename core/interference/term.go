package interference

import (
	"math"
	"time"
)

// term is a learned number with its mean, its variance and the time at which they
// were last decayed.
type term struct {
	mean, variance           float64
	priorMean, priorVariance float64
	at                       time.Time
}

func newTerm(now time.Time, mean, std float64) *term {
	return &term{
		mean:          mean,
		variance:      std * std,
		priorMean:     mean,
		priorVariance: std * std,
		at:            now,
	}
}

// decay moves the term towards its prior by the time that has passed since the last
// call. Without decay the variance would shrink to zero and new observations would no
// longer change the mean, so a class whose behaviour changes would keep its old
// prediction forever.
func (t *term) decay(now time.Time, decay time.Duration) {
	passed := now.Sub(t.at)
	if passed <= 0 {
		return
	}
	keep := math.Exp(-float64(passed) / float64(decay))
	t.mean = t.priorMean + (t.mean-t.priorMean)*keep
	t.variance = t.priorVariance + (t.variance-t.priorVariance)*keep
	t.at = now
}

// correct applies the term's part of a residual, the difference between the measured
// and the predicted slowdown. weight is the derivative of the prediction with respect
// to the term, and total the variance of the measurement and the whole prediction.
func (t *term) correct(residual, weight, total float64) {
	gain := t.variance * weight / total
	t.mean += gain * residual
	t.variance -= gain * weight * t.variance
}

func getOrAddTerm[K comparable](terms map[K]*term, key K, now time.Time, mean, std float64) *term {
	t, ok := terms[key]
	if !ok {
		t = newTerm(now, mean, std)
		terms[key] = t
	}
	return t
}
