package storebudget

import (
	"fmt"
	"time"
)

// ThrottledError says that the budget holds a call back until RetryAt.
type ThrottledError struct {
	Class   Class
	RetryAt time.Time
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("%s calls wait until %s", e.Class, e.RetryAt.Format(time.RFC3339Nano))
}

// Budget holds one daemon's calls to the store within its share.
type Budget struct {
	o       Options
	buckets [bucketCount]bucket
	lanes   [laneCount]lane
	// recovered is when the last outage ended.
	recovered time.Time
}

// New makes a budget with whole bursts.
func New(now time.Time, o Options) *Budget {
	b := &Budget{o: o.withDefaults()}
	b.setRates(now)
	return b
}

// SetDaemons changes the number of daemons that share the store.
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

// Allow asks for one call. When it is not allowed, retryAt is when to ask
// again; the call may have to wait longer still. rnd is a random value over
// its whole range.
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

// maxRecheck bounds the time until a caller asks again while its lane is closed.
// An answer in another lane shortens the wait, and a caller that sleeps through
// the whole of a long backoff would not hear of it.
const maxRecheck = time.Second

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// backoffLow is the part of a backoff that is never cut by jitter.
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

// The tokens that cutting a bucket leaves: after an outage those of a lease's
// renewal and of one commit, after a refusal one.
const (
	recoveryTokens = 2
	overloadTokens = 1
)

// beginRecovery takes away what was saved up and cuts the rates after an
// outage. Lanes find the store back
// one after the other; the first one's moment counts for all.
func (b *Budget) beginRecovery(now time.Time) {
	if !b.recovered.IsZero() && now.Sub(b.recovered) < b.o.RampTime {
		return
	}
	b.recovered = now
	for i := range b.buckets {
		b.buckets[i].reduceRate(now, b.o.RampStart, b.o.RampTime, recoveryTokens)
	}
}

func (b *Budget) expediteOthers(now time.Time) {
	for i := range b.lanes {
		b.lanes[i].expediteProbe(now, b.o.probeSpread(laneID(i)))
	}
}

// failed counts a failure. Several calls in flight fail together when the
// store goes away; only the first of them counts, or one blip would back off
// as far as a long outage.
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

// overloaded halves the bucket's rate and backs off briefly. The store is
// there, so an outage that was counted is over.
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

// backoff is the longest wait after the lane's failures so far.
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
