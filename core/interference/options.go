package interference

import "time"

// Options configures a Model. A slowdown is the ratio of the run time on a shared
// worker to the run time alone; an effect is the part of it above 1 that is due to
// one unthrottled aggressor.
type Options struct {
	// PriorMean is the mean effect of an aggressor that was never observed.
	PriorMean float64
	// ClassStd, PairStd, BucketStd and WorkloadStd are the prior standard
	// deviations of the persistent terms of an effect.
	ClassStd, PairStd, BucketStd, WorkloadStd float64
	// IntensityStd is the standard deviation of the intensity of tasks of a class
	// that was never observed.
	IntensityStd float64
	// NoiseStd is the standard deviation of a measurement of an undisturbed
	// victim. NoiseRatio is added to it per unit of slowdown above 1.
	NoiseStd, NoiseRatio float64
	// Decay is the time in which the persistent terms return 63% of the way to
	// their priors.
	Decay time.Duration
	// IntensityDecay is the same for the intensities of tasks.
	IntensityDecay time.Duration
	// Retain is how long residency is kept. Older measurements are dropped.
	Retain time.Duration
}

// DefaultOptions returns the options with which the eviction policy is measured.
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
