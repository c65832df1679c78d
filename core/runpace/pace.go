package runpace

import (
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// FullPercent is the percent of a whole run.
const FullPercent = 100

// Sum sums the percents that were seen to pass and the working time that they took.
type Sum struct {
	Percents int
	Took     time.Duration
}

// Add adds percents that passed in the given time.
func (s *Sum) Add(percents int, took time.Duration) {
	s.Percents += percents
	s.Took += took
}

// PerPercent returns the mean time of a percent, 0 if unknown.
func (s Sum) PerPercent() time.Duration {
	if s.Percents == 0 {
		return 0
	}
	return s.Took / time.Duration(s.Percents)
}

// EstimatedPercent returns how long a percent takes by the step's estimate, 0 without
// one.
func EstimatedPercent(spec *job.Step) time.Duration {
	return time.Duration(spec.EstimateMs) * time.Millisecond / FullPercent
}

// Images holds, by image, how many times their estimate runs take.
type Images map[string]float64

const (
	// imageWeight is the weight of one more observation.
	imageWeight = 0.1
	// MaxImages bounds the images, whose names are the callers' choice.
	MaxImages = 1000
)

// Observe takes in how long a percent took.
func (p Images) Observe(spec *job.Step, perPercent time.Duration) {
	if spec.Image == "" || spec.EstimateMs <= 0 {
		return
	}
	ratio := float64(perPercent) / float64(EstimatedPercent(spec))
	old, known := p[spec.Image]
	switch {
	case known:
		p[spec.Image] = old + imageWeight*(ratio-old)
	case len(p) < MaxImages:
		p[spec.Image] = ratio
	}
}
