package interference

import (
	"math"
	"time"
)

// term is one learned number: its mean, its variance and when they were last
// brought up to date.
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

// decay lets the term fall back towards its prior. Without it a class whose
// behaviour changed would be judged by its past for ever: the variance would
// shrink to nothing and new observations would move the mean no more.
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

// correct takes the term's part of a surprise. weight is how strongly the
// term entered the prediction, total the variance of the whole prediction.
func (t *term) correct(residual, weight, total float64) {
	gain := t.variance * weight / total
	t.mean += gain * residual
	t.variance -= gain * weight * t.variance
}
