package admission

import "time"

// updateOverload tracks whether tickets have waited without interruption. An
// empty moment does not end an overload: at slightly more than capacity the
// queue is empty now and then, and ending the overload each time would let the
// queue fill up again.
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
		// Slots are free, so the tickets wait for a better slot than those.
		q.standingSince = now
		return
	}
	q.emptySince = time.Time{}
	if !q.standingSince.IsZero() && now.Sub(q.standingSince) >= q.o.StandingInterval {
		q.overloaded = true
	}
}

// Overloaded reports whether the queue is overloaded: it has not been empty for
// StandingInterval, nor has it been empty for that long since.
func (q *Queue) Overloaded(now time.Time) bool {
	q.updateOverload(now)
	return q.overloaded
}

func (q *Queue) shed(now time.Time, t Ticket, reason ShedReason) Verdict {
	return Verdict{Outcome: Shed, Reason: reason, RetryAfter: q.retryAfter(now, t)}
}

// retryAfter is the time after which the queue should have room again: the
// waiting tickets must drain, and the more arrivals exceed capacity, the longer
// the period over which retries are spread. Callers shed at the same time
// receive different delays, from half to one and a half times the base, so that
// they do not return together and get shed again.
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

// mix64 is the finalizer of splitmix64, which makes the results for consecutive
// IDs independent.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
