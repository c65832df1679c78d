package throttle

import "time"

// FullSpeed is the share, in percent, of an attempt that is not throttled.
const FullSpeed = 100

// Floor is the share, in percent, below which work is stopped altogether: even at a very
// low speed it still disturbs.
const Floor = 10

// Shares holds the shares, in percent, of a worker's best-effort work. Readings are late
// and imprecise, so shares are reduced at once and raised slowly.
type Shares struct {
	// Disturbing is the share of the attempts that are known to disturb. Other is that
	// of the other best-effort attempts, which is reduced only if that was not enough.
	Disturbing, Other int
	// pressure is the worst ratio of a reading to its target, smoothed. overSince
	// is since when it has been above 1; zero if it is not. changeAt is when the
	// shares may be changed again.
	pressure            float64
	overSince, changeAt time.Time
}

const (
	// pressureHigh is the fraction of the latency target above which disturbing
	// work is slowed at once; pressureLow is the one below which shares are raised.
	pressureHigh = 1.05
	pressureLow  = 0.93
	// pressureAim is the fraction of the target that a reduction aims at.
	pressureAim = 0.93
	// pressureOver is the fraction above which work that is not known to disturb is
	// slowed too.
	pressureOver = 1.15
	// sustainedOverTime is how long a task may be slightly above its target before
	// work is slowed anyway: a quarter of what the platform allows, which leaves
	// time for several reductions. Those aim at sustainedOverAim.
	sustainedOverTime = time.Second
	sustainedOverAim  = 0.75
	// longOverTime is how long a task may be above its target before all best-effort work
	// beside it is stopped, known to disturb or not: half of what the platform allows.
	// Readings come up to a second late.
	longOverTime = 2 * time.Second
	// raise is by how much a share is raised at a time, in percent.
	raise = 25
	// pressureWeight is the weight of a new reading that is lower than the smoothed
	// value.
	pressureWeight = 0.7
)

// FullShares returns the shares of a worker of which no reading is known.
func FullShares() Shares { return Shares{Disturbing: FullSpeed, Other: FullSpeed} }

// Pressure returns the worst ratio of a reading to its target, smoothed.
func (s *Shares) Pressure() float64 { return s.pressure }

// Hold sets both shares, which then stay until the given time.
func (s *Shares) Hold(percent int, until time.Time) {
	s.Disturbing, s.Other = percent, percent
	s.changeAt = until
}

// Measure takes in the worst ratio of a reading to its target of a new report.
func (s *Shares) Measure(now time.Time, worst float64) {
	if worst > s.pressure {
		s.pressure = worst
	} else {
		s.pressure += (worst - s.pressure) * pressureWeight
	}
	switch {
	case s.pressure <= 1:
		s.overSince = time.Time{}
	case s.overSince.IsZero():
		s.overSince = now
	}
}

// Work is the best-effort work of a worker.
type Work struct {
	// Allowed returns the share up to which disturbing work may run by what is predicted
	// of it.
	Allowed func() int
	// Disturbs reports whether any of it is known to disturb.
	Disturbs func() bool
	// ShownAfter is how long it takes until a reading shows a change of the shares.
	ShownAfter time.Duration
}

// Adjust updates the shares by what was measured.
func (s *Shares) Adjust(now time.Time, work Work) {
	if s.isOverFor(now, longOverTime) {
		s.Disturbing, s.Other = 0, 0
		return
	}
	allowed := work.Allowed()
	s.Disturbing = min(s.Disturbing, allowed)
	if now.Before(s.changeAt) {
		return
	}
	before := *s
	disturbingLimit, otherLimit, aim := s.limits(now)
	switch {
	case s.pressure > otherLimit && (s.Disturbing == 0 || !work.Disturbs()):
		s.Other = reduce(s.Other, aim/s.pressure)
	case s.pressure > disturbingLimit:
		s.Disturbing = reduce(s.Disturbing, aim/s.pressure)
	case s.pressure < pressureLow && s.Other < FullSpeed:
		s.Other = min(s.Other+raise, FullSpeed)
	case s.pressure < pressureLow:
		s.Disturbing = min(s.Disturbing+raise, allowed)
	}
	if s.Disturbing != before.Disturbing || s.Other != before.Other {
		s.changeAt = now.Add(work.ShownAfter)
	}
}

// isOverFor reports whether a task has been above its target for the given time.
func (s *Shares) isOverFor(now time.Time, duration time.Duration) bool {
	return !s.overSince.IsZero() && now.Sub(s.overSince) >= duration
}

// limits returns the pressures above which known disturbing work and other
// best-effort work are slowed, and the pressure that a reduction aims at.
func (s *Shares) limits(now time.Time) (disturbing, other, aim float64) {
	if s.isOverFor(now, sustainedOverTime) {
		return 1, 1, sustainedOverAim
	}
	return pressureHigh, pressureOver, pressureAim
}

// reduce returns a lower share, given the ratio of the intended to the present
// pressure. Tails grow faster than the disturbance, so the share is multiplied by
// the square of the ratio.
func reduce(percent int, ratio float64) int {
	percent = int(float64(percent) * ratio * ratio)
	if percent < Floor {
		return 0
	}
	return percent
}
