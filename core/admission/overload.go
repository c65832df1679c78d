package admission

import "time"

// updateOverload follows whether tickets have waited without a break. Being
// empty for a moment does not end an overload: at just above capacity the
// queue touches empty now and then, and each touch would let a full queue in.
func (q *Queue) updateOverload(now time.Time) {
	if len(q.waiting) == 0 {
		q.standingSince = time.Time{}
		if q.emptySince.IsZero() {
			q.emptySince = now
		}
		if now.Sub(q.emptySince) >= q.o.StandingInterval {
			q.overloaded = false
		}
		return
	}
	if q.free > q.reserve() {
		// What waits does so by choice, for a better slot than the free ones.
		q.standingSince = now
		return
	}
	q.emptySince = time.Time{}
	if !q.standingSince.IsZero() && now.Sub(q.standingSince) >= q.o.StandingInterval {
		q.overloaded = true
	}
}

// Overloaded reports whether the queue has stood for StandingInterval.
func (q *Queue) Overloaded(now time.Time) bool {
	q.updateOverload(now)
	return q.overloaded
}

func (q *Queue) shed(now time.Time, t Ticket, reason ShedReason) Verdict {
	return Verdict{Outcome: Shed, Reason: reason, RetryAfter: q.retryAfter(now, t)}
}

// retryAfter is the time in which the queue should have room: what waits must
// drain, and the more arrives beyond capacity the longer the shed callers are
// spread out. Callers shed together are told different times, from half to one
// and a half of it, or they would return together and be shed again.
func (q *Queue) retryAfter(_ time.Time, t Ticket) time.Duration {
	base := q.o.MinRetryAfter
	if q.total > 0 {
		base += 2 * q.predictedWait(t.Priority)
		base = time.Duration(float64(base) * max(1, q.load.utilization(q.total)))
	} else {
		base *= 4
	}
	spread := float64(mix64(t.ID)>>40) / (1 << 24)
	d := time.Duration(float64(base) * (0.5 + spread))
	return min(max(d, q.o.MinRetryAfter), q.o.MaxRetryAfter)
}

// mix64 is the finaliser of splitmix64, so that consecutive ids differ.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
