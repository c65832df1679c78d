package storebudget

import "time"

// minFactor is the least part of its rate that refusals leave to a bucket.
const minFactor = 1.0 / 16

// bucket is a token bucket whose rate can be cut to a factor that grows back
// to one in a straight line.
type bucket struct {
	rate   float64
	burst  float64
	tokens float64
	filled time.Time

	factor    float64
	reducedAt time.Time
	growth    float64 // of the factor, per second
}

func (b *bucket) setRate(now time.Time, rate float64, burstTime time.Duration) {
	first := b.filled.IsZero()
	b.fill(now)
	b.rate = rate
	b.burst = max(minBurst, rate*burstTime.Seconds())
	if first {
		b.tokens = b.burst
	}
	b.tokens = min(b.tokens, b.burst)
}

// factorAt is the part of the rate that holds at a moment.
func (b *bucket) factorAt(at time.Time) float64 {
	grown := b.factor + b.growth*at.Sub(b.reducedAt).Seconds()
	return min(1, grown)
}

// fill adds the tokens of the time since the last fill.
func (b *bucket) fill(now time.Time) {
	if b.filled.IsZero() {
		b.filled, b.reducedAt, b.factor = now, now, 1
		return
	}
	elapsed := now.Sub(b.filled).Seconds()
	if elapsed <= 0 {
		return
	}
	factor := (b.factorAt(b.filled) + b.factorAt(now)) / 2
	b.tokens = min(b.burst, b.tokens+elapsed*b.rate*factor)
	b.filled = now
}

// reduceRate lowers the rate to a factor that grows back to one within ramp, and
// leaves at most the given tokens.
func (b *bucket) reduceRate(now time.Time, factor float64, ramp time.Duration, tokens float64) {
	b.fill(now)
	b.factor = max(factor, minFactor)
	b.reducedAt = now
	b.growth = (1 - b.factor) / ramp.Seconds()
	b.tokens = min(b.tokens, tokens)
}

// take takes a token if reserve more are left, or else says how long it takes
// until it could.
func (b *bucket) take(now time.Time, reserve float64) (bool, time.Duration) {
	b.fill(now)
	missing := 1 + reserve - b.tokens
	if missing <= tokenSlack {
		b.tokens--
		return true, 0
	}
	seconds := missing / (b.rate * b.factorAt(now))
	return false, time.Duration(seconds * float64(time.Second))
}

// tokenSlack forgives the rounding of the wait that take gave before.
const tokenSlack = 1e-6
