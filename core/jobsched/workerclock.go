package jobsched

import "time"

// A worker judges leases by its own monotonic clock, which is another one with each
// incarnation and may run slow. An order names the end of the lease by that clock.

const (
	// clockDrift is by how much a worker's clock may run slow: 2% by the platform's
	// contract, plus a margin for rounding.
	clockDrift = 0.025
	// leaseSlack covers the worker's delay in ending attempts whose lease has
	// expired.
	leaseSlack = 200 * time.Millisecond
)

// sampleClock records a reading of the worker's clock.
func (w *worker) sampleClock(now time.Time, clockMs int64) {
	if clockMs > 0 {
		w.clockMs, w.clockAt = clockMs, now
	}
}

// until returns the end, on the worker's clock, of a lease that begins now, or 0 if
// the worker's clock is unknown. It extends leaseBound to the time at which the
// lease has certainly ended: the worker's clock may run slow, and may have fallen
// behind since it was read.
func (w *worker) until(now time.Time, lease time.Duration) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	since := now.Sub(w.clockAt)
	w.extendLeaseBound(now.Add(w.drift(since)), lease)
	return w.clockMs + (since + lease).Milliseconds()
}

// extendLeaseBound notes that a lease of the given length may begin at the given time.
func (w *worker) extendLeaseBound(from time.Time, lease time.Duration) {
	w.leaseBound = later(w.leaseBound, from.Add(lease+w.drift(lease)+leaseSlack))
}

// drift returns how much longer than d it may take until d has passed on the worker's
// clock, which may run slow.
func (w *worker) drift(d time.Duration) time.Duration { return time.Duration(float64(d) * clockDrift) }

// leaseWithin returns the longest lease that begins now and has certainly ended by
// the given bound. It is the inverse of the bound in until, less a millisecond for
// rounding.
func (w *worker) leaseWithin(now, bound time.Time) time.Duration {
	since := time.Duration(float64(now.Sub(w.clockAt)) * clockDrift)
	return time.Duration(float64(bound.Sub(now)-leaseSlack-since)/(1+clockDrift)) - time.Millisecond
}

// isOtherClock reports whether an answer to a call that was sent at sentAt comes from
// another clock than the one that was read last: that one would have gone back.
func (w *worker) isOtherClock(sentAt time.Time, clockMs int64) bool {
	if w.clockAt.IsZero() || clockMs <= 0 {
		return false
	}
	since := sentAt.Sub(w.clockAt)
	earliest := w.clockMs + (since - w.drift(since.Abs())).Milliseconds()
	return clockMs < earliest
}
