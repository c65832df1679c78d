package storebudget

import "time"

// minFactor is the minimum fraction of its rate that a bucket keeps after
// refusals.
const minFactor = 1.0 / 16

// bucket is a token bucket whose rate can be reduced to a factor that grows
// back to one linearly.
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

// factorAt returns the fraction of the rate that applies at a time.
func (b *bucket) factorAt(at time.Time) float64 {
	grown := b.factor + b.growth*at.Sub(b.reducedAt).Seconds()
	return min(1, grown)
}

// fill adds the tokens for the time since the last fill.
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

// reduceRate reduces the rate to a factor that grows back to one within ramp,
// and leaves at most the given tokens.
func (b *bucket) reduceRate(now time.Time, factor float64, ramp time.Duration, tokens float64) {
	b.fill(now)
	b.factor = max(factor, minFactor)
	b.reducedAt = now
	b.growth = (1 - b.factor) / ramp.Seconds()
	b.tokens = min(b.tokens, tokens)
}

// take takes a token if reserve more are left; otherwise it returns how long to
// wait before trying again.
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

// tokenSlack absorbs the rounding of the wait that an earlier take returned.
const tokenSlack = 1e-6
