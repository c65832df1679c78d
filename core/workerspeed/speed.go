package workerspeed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// SlowFrom is the slowness from which a worker is slow: callers allow that a job
	// takes half as long again as its work, hardly more. NormalBelow is the slowness
	// below which it no longer is.
	SlowFrom    = 1.5
	NormalBelow = 1.25
	// MaxSlowness bounds the slowness of a worker.
	MaxSlowness = 10.0
	// holdTime is how long a slowness holds after the last evidence of it; it is
	// forgotten in equal steps until forgetTime after that evidence, and the worker is
	// unknown.
	holdTime   = 8 * time.Second
	forgetTime = 20 * time.Second

	// maxSamples bounds the attempts that tell about a worker.
	maxSamples = 16
	// sampleHalfLife is the time in which an attempt's weight halves against that of
	// the latest one: a worker that has recovered is found while old evidence is kept.
	sampleHalfLife = time.Second
	// sampleAge is how much older than the latest a sample may be.
	sampleAge = 10 * time.Second
	// minSamples and minSteps are how many attempts have to tell, and of how many
	// steps.
	minSamples, minSteps = 3, 2
	// normalWeight is the weight, in attempts, of the assumption that a worker is normal.
	// slowWeight is that of the assumption that one which was slow still is: less than
	// one attempt, which shows whether it has recovered.
	normalWeight = 1.5
	slowWeight   = 0.75
)

// Evidence is how far a slowness that was seen tells about the worker.
type Evidence int

const (
	// Exact evidence was not influenced by other work on the worker.
	Exact Evidence = iota
	// AtMost is evidence that may come from other work on the worker: without it the
	// slowness would have been lower, never higher.
	AtMost
)

// Speed is what is learned of one worker. Its zero value is an unknown worker. It is not
// safe for concurrent use.
type Speed struct {
	samples []sample
	// slowness is the estimate by the samples, attempts the number of attempts that it is
	// based on, 0 for an unknown worker. Both are computed when they are asked for:
	// observations come several at a time.
	slowness float64
	attempts int
	// stale is whether observations came after the estimate.
	stale bool
	// latest is the time of the latest evidence, estimatedTo that of the latest in the
	// estimate.
	latest, estimatedTo time.Time
}

// sample is the slowness that an attempt shows.
type sample struct {
	source   Source
	slowness float64
	at       time.Time
}

// Observe takes in that an attempt takes the given number of times as long as elsewhere.
// Evidence that is not exact counts only if it is lower than what is known.
func (s *Speed) Observe(now time.Time, source Source, slowness float64, evidence Evidence) {
	slowness = min(max(slowness, 1), MaxSlowness)
	if now.After(s.latest) {
		s.estimate()
	}
	known := MaxSlowness
	if evidence == AtMost {
		known = s.Slowness(now)
	}
	i := slices.IndexFunc(s.samples, func(other sample) bool { return other.source == source })
	if i >= 0 {
		known = max(known, s.samples[i].slowness)
	}
	if evidence == AtMost && slowness >= known {
		return
	}
	s.latest, s.stale = now, true
	next := sample{source: source, slowness: slowness, at: now}
	switch {
	case i >= 0:
		s.samples[i] = next
	case len(s.samples) < maxSamples:
		s.samples = append(s.samples, next)
	default:
		s.samples[s.oldest()] = next
	}
}

// Assume takes over the slowness that another has learned of the worker.
func (s *Speed) Assume(now time.Time, slowness float64) {
	*s = Speed{slowness: min(max(slowness, 1), MaxSlowness), attempts: 1, latest: now, estimatedTo: now}
}

// oldest returns the index of the sample that was taken first.
func (s *Speed) oldest() int {
	oldest := 0
	for i := range s.samples {
		if s.samples[i].at.Before(s.samples[oldest].at) {
			oldest = i
		}
	}
	return oldest
}

// estimate computes the estimate: the weighted lower median of the samples and the
// assumption that the worker is as it was.
func (s *Speed) estimate() {
	if !s.stale {
		return
	}
	assumed, weight := s.assumption()
	s.stale, s.estimatedTo = false, s.latest
	s.samples = slices.DeleteFunc(s.samples, func(x sample) bool { return s.latest.Sub(x.at) > sampleAge })
	s.attempts = len(s.samples)
	if assumed == 1 && (len(s.samples) < minSamples || s.steps() < minSteps) {
		s.slowness, s.attempts = 1, 0
		return
	}
	values := []weighted{{assumed, weight}}
	for i := range s.samples {
		values = append(values, weighted{s.samples[i].slowness, s.weight(i)})
	}
	s.slowness = lowerMedian(values)
}

// assumption returns what is assumed of the worker before its samples are looked at, and
// the weight of that in attempts.
func (s *Speed) assumption() (slowness, weight float64) {
	if slowness = s.fade(s.latest.Sub(s.estimatedTo)); slowness >= SlowFrom {
		return slowness, slowWeight
	}
	return 1, normalWeight
}

// fade returns what is left of the estimate at the given age of its latest evidence.
func (s *Speed) fade(age time.Duration) float64 {
	if s.attempts == 0 {
		return 1
	}
	if age <= holdTime {
		return s.slowness
	}
	left := float64(forgetTime-age) / float64(forgetTime-holdTime)
	return 1 + (s.slowness-1)*max(left, 0)
}

type weighted struct{ slowness, weight float64 }

// lowerMedian returns the lower weighted median.
func lowerMedian(values []weighted) float64 {
	slices.SortFunc(values, func(a, b weighted) int { return cmp.Compare(a.slowness, b.slowness) })
	total := 0.0
	for _, v := range values {
		total += v.weight
	}
	sum := 0.0
	for _, v := range values {
		if sum += v.weight; sum >= total/2 {
			return v.slowness
		}
	}
	return 1
}

// weight returns the weight of a sample against the latest one.
func (s *Speed) weight(i int) float64 {
	return math.Exp2(-float64(s.latest.Sub(s.samples[i].at)) / float64(sampleHalfLife))
}

// steps counts the steps of the samples, up to minSteps.
func (s *Speed) steps() int {
	steps := 0
	for i := range s.samples {
		if !slices.ContainsFunc(s.samples[:i], func(x sample) bool { return x.source.sameStep(s.samples[i].source) }) {
			if steps++; steps == minSteps {
				break
			}
		}
	}
	return steps
}

// Slowness returns how many times as long as elsewhere work takes on the worker; 1 if
// that is unknown. Without new evidence it falls to 1.
func (s *Speed) Slowness(now time.Time) float64 {
	s.estimate()
	return s.fade(now.Sub(s.latest))
}

// IsCurrent reports whether recent evidence shows the speed of the worker.
func (s *Speed) IsCurrent(now time.Time) bool {
	s.estimate()
	return s.attempts > 0 && now.Sub(s.latest) <= holdTime
}

// Confidence describes what the slowness is based on.
type Confidence struct {
	// Attempts is the number of attempts that tell, 0 if the worker is unknown.
	Attempts int
	// Age is the time since the latest evidence.
	Age time.Duration
}

// Confidence returns what the slowness is based on.
func (s *Speed) Confidence(now time.Time) Confidence {
	s.estimate()
	if s.attempts == 0 || now.Sub(s.latest) >= forgetTime {
		return Confidence{}
	}
	return Confidence{Attempts: s.attempts, Age: now.Sub(s.latest)}
}
