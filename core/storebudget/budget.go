package storebudget

import (
	"fmt"
	"time"
)

// ThrottledError reports that the budget delays a call until RetryAt.
type ThrottledError struct {
	Class   Class
	RetryAt time.Time
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("%s calls wait until %s", e.Class, e.RetryAt.Format(time.RFC3339Nano))
}

// Budget limits one daemon's calls to the store to its share.
type Budget struct {
	o       Options
	buckets [bucketCount]bucket
	lanes   [laneCount]lane
	// recovered is when the last outage ended.
	recovered time.Time
}

// New returns a budget with full buckets.
func New(now time.Time, o Options) *Budget {
	b := &Budget{o: o.withDefaults()}
	b.setRates(now)
	return b
}

// SetDaemons sets the number of daemons that share the store.
func (b *Budget) SetDaemons(now time.Time, daemons int) {
	b.o.Daemons = max(daemons, 1)
	b.setRates(now)
}

func (b *Budget) setRates(now time.Time) {
	for i := range b.buckets {
		rate := b.o.rate(bucketID(i))
		b.buckets[i].setRate(now, rate, b.o.BurstTime)
	}
}

// Allow requests permission for one call. If the call is not allowed, retryAt
// is when to ask again; the call may then be delayed further. rnd is a random
// value over its whole range.
func (b *Budget) Allow(now time.Time, class Class, rnd uint64) (ok bool, retryAt time.Time) {
	u := unitFloat(rnd)
	p := &policies[class]
	l := &b.lanes[p.lane]
	if !l.isOpen() {
		if ok, at := l.probeReady(now, u); !ok {
			return false, earliest(at, now.Add(maxRecheck))
		}
	}
	if ok, wait := b.buckets[p.bucket].take(now, p.reserve); !ok {
		return false, now.Add(wait)
	}
	if !l.isOpen() {
		l.probing = true
		l.scheduleProbe(now, b.backoff(p.lane), backoffLow)
	}
	return true, time.Time{}
}

// maxRecheck bounds the time until a caller asks again while its lane is
// closed. A successful call in another lane shortens the backoff, which a
// caller that sleeps through a long backoff would miss.
const maxRecheck = time.Second

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// backoffLow is the fraction of a backoff that jitter never removes.
const backoffLow = 0.5

// Observe reports the end of an allowed call.
func (b *Budget) Observe(now time.Time, class Class, result Result) {
	switch result {
	case Answered:
		b.answered(now, class)
	case Failed:
		b.failed(now, class)
	case Overloaded:
		b.overloaded(now, class)
	}
}

func (b *Budget) answered(now time.Time, class Class) {
	id := policies[class].lane
	l := &b.lanes[id]
	if l.isOpen() {
		return
	}
	outage := l.failures >= b.o.OutageAfter
	*l = lane{}
	if !outage {
		return
	}
	b.beginRecovery(now)
	b.expediteOthers(now)
}

// The tokens that remain when a bucket's rate is reduced: after an outage one
// for the renewal of a lease and one for a commit, after a refusal one.
const (
	recoveryTokens = 2
	overloadTokens = 1
)

// beginRecovery removes saved tokens and reduces the rates after an outage.
// Lanes detect the store's return one after the other; only the first detection
// within RampTime has an effect.
func (b *Budget) beginRecovery(now time.Time) {
	if !b.recovered.IsZero() && now.Sub(b.recovered) < b.o.RampTime {
		return
	}
	b.recovered = now
	for i := range b.buckets {
		b.buckets[i].reduceRate(now, b.o.RampStart, b.o.RampTime, recoveryTokens)
	}
}

// expediteOthers lets the other lanes probe soon.
func (b *Budget) expediteOthers(now time.Time) {
	for i := range b.lanes {
		b.lanes[i].expediteProbe(now, b.o.probeSpread(laneID(i)))
	}
}

// failed counts a failure. When the store becomes unavailable, several calls in
// flight fail together. Only the first of them counts; otherwise a brief
// interruption would cause the backoff of a long outage.
func (b *Budget) failed(now time.Time, class Class) {
	id := policies[class].lane
	l := &b.lanes[id]
	if l.ignoresFailure() {
		return
	}
	l.failures++
	l.probing = false
	l.scheduleProbe(now, b.backoff(id), backoffLow)
}

// overloaded halves the bucket's rate and backs off briefly. The store
// responds, so an outage that was counted has ended.
func (b *Budget) overloaded(now time.Time, class Class) {
	p := &policies[class]
	l := &b.lanes[p.lane]
	if l.ignoresFailure() {
		return
	}
	if l.failures >= b.o.OutageAfter {
		b.beginRecovery(now)
	}
	bk := &b.buckets[p.bucket]
	bk.reduceRate(now, bk.factorAt(now)/2, b.o.RampTime, overloadTokens)
	l.failures = 1
	l.probing = false
	l.scheduleProbe(now, b.backoff(p.lane), backoffLow)
}

// backoff returns the longest wait after the lane's failures so far.
func (b *Budget) backoff(id laneID) time.Duration {
	limit := b.o.backoffCap(id)
	d := b.o.BackoffBase
	for i := 1; i < b.lanes[id].failures && d < limit; i++ {
		d *= 2
	}
	return min(d, limit)
}

// unitFloat maps a random value to [0, 1).
func unitFloat(rnd uint64) float64 {
	const mantissaBits = 53
	return float64(rnd>>(64-mantissaBits)) / (1 << mantissaBits)
}
