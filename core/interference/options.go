package interference

import "time"

// Options sets the slowdown learner. Slowdowns are ratios of run time shared
// to run time alone; effects are the part above 1, per undisturbed aggressor.
type Options struct {
	// PriorMean is the effect assumed of an unknown aggressor.
	PriorMean float64
	// ClassStd, PairStd, BucketStd and WorkloadStd are the prior standard
	// deviations of the lasting terms of an effect.
	ClassStd, PairStd, BucketStd, WorkloadStd float64
	// IntensityStd is the standard deviation of the loudness of tasks of a
	// class that was never seen.
	IntensityStd float64
	// NoiseStd is the standard deviation of one measurement of an
	// undisturbed victim; NoiseRatio is added per unit of slowdown above 1.
	NoiseStd, NoiseRatio float64
	// Decay is the time in which knowledge loses 63% of its weight.
	Decay time.Duration
	// IntensityDecay is the same for what is known of one task's loudness.
	IntensityDecay time.Duration
	// Retain is how long residency is remembered; a measurement older than
	// this is dropped.
	Retain time.Duration
}

// DefaultOptions returns the settings that the policy measurements use.
func DefaultOptions() Options {
	return Options{
		PriorMean:      0.05,
		ClassStd:       0.15,
		PairStd:        0.15,
		BucketStd:      0.10,
		WorkloadStd:    0.20,
		IntensityStd:   1,
		NoiseStd:       0.05,
		NoiseRatio:     0.10,
		Decay:          6 * time.Hour,
		IntensityDecay: time.Minute,
		Retain:         2 * time.Minute,
	}
}
