package interference

import (
	"math"

	"github.com/guavarill/guavarill/core/model"
)

// Predict returns the effect of one unthrottled aggressor on a victim, given their
// classes and the worker's load. A class that was never observed is predicted from
// the prior. The terms are not decayed since their latest observations.
func (m *Model) Predict(victimClass, aggressorClass string, load float64) Estimate {
	mean, variance := m.predictPair(victimClass, aggressorClass, load)
	variance += m.options.WorkloadStd * m.options.WorkloadStd
	return estimate(mean, variance, 1, m.variances.of(aggressorClass, ""))
}

// PredictWorkload is like Predict for an aggressor of a known workload.
func (m *Model) PredictWorkload(victimClass, aggressorClass, workload string, load float64) Estimate {
	mean, variance := m.predictWorkload(victimClass, aggressorClass, workload, load)
	return estimate(mean, variance, 1, m.variances.of(aggressorClass, workload))
}

// PredictTask is like Predict for a known task that runs now, as if it were not
// throttled.
func (m *Model) PredictTask(victimClass, aggressorClass string, aggressor model.TaskKey, load float64) Estimate {
	t, ok := m.intensity[aggressor]
	if !ok {
		return m.PredictWorkload(victimClass, aggressorClass, aggressor.Workload, load)
	}
	mean, variance := m.predictWorkload(victimClass, aggressorClass, aggressor.Workload, load)
	return estimate(mean, variance, 1+t.mean, t.variance)
}

func (m *Model) predictWorkload(victimClass, aggressorClass, workload string, load float64) (mean, variance float64) {
	mean, variance = m.predictPair(victimClass, aggressorClass, load)
	ownMean, ownVariance := termOrPrior(m.workloads, workload, 0, m.options.WorkloadStd)
	return mean + ownMean, variance + ownVariance
}

func (m *Model) predictPair(victimClass, aggressorClass string, load float64) (mean, variance float64) {
	o := &m.options
	pair := pairKey{victimClass, aggressorClass}
	mean, variance = termOrPrior(m.classes, aggressorClass, o.PriorMean, o.ClassStd)
	pairMean, pairVariance := termOrPrior(m.pairs, pair, 0, o.PairStd)
	bucketMean, bucketVariance := termOrPrior(m.buckets, bucketKey{pair, LoadBucket(load)}, 0, o.BucketStd)
	return mean + pairMean + bucketMean, variance + pairVariance + bucketVariance
}

// estimate returns the product of an effect and an intensity.
func estimate(mean, variance, intensity, intensityVariance float64) Estimate {
	mean = math.Max(0, mean)
	intensity = math.Max(0, intensity)
	variance = variance*intensity*intensity + mean*mean*intensityVariance
	return Estimate{Mean: mean * intensity, Std: math.Sqrt(variance)}
}

// termOrPrior returns the mean and the variance of a term, or those of its prior if
// there is no such term.
func termOrPrior[K comparable](terms map[K]*term, key K, mean, std float64) (float64, float64) {
	t, ok := terms[key]
	if !ok {
		return mean, std * std
	}
	return t.mean, t.variance
}
