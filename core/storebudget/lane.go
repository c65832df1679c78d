package storebudget

import "time"

// lane counts the consecutive failures of the classes that share it and
// determines when the next call may probe the store.
type lane struct {
	failures int
	// probeAt is when the next probe may start; valid once probeDrawn is set.
	probeAt    time.Time
	probeDrawn bool
	// from, span and low define the range from which probeAt is drawn: between
	// low times span and span after from.
	from time.Time
	span time.Duration
	low  float64
	// probing is set between the admission of a probe and its result.
	probing bool
}

// isOpen reports whether no failure delays calls.
func (l *lane) isOpen() bool { return l.failures == 0 }

// ignoresFailure reports whether a failure reported now is that of a call that
// was already in flight when the lane closed, so that it does not count.
func (l *lane) ignoresFailure() bool { return !l.isOpen() && !l.probing }

// scheduleProbe sets the range from which the time of the next probe is drawn.
func (l *lane) scheduleProbe(from time.Time, span time.Duration, low float64) {
	l.from, l.span, l.low = from, span, low
	l.probeDrawn = false
}

// probeReady reports whether a probe may start now, and when it may.
func (l *lane) probeReady(now time.Time, u float64) (bool, time.Time) {
	if !l.probeDrawn {
		l.probeAt = l.from.Add(scale(l.span, l.low+(1-l.low)*u))
		l.probeDrawn = true
	}
	return !now.Before(l.probeAt), l.probeAt
}

// expediteProbe lets a closed lane probe within span, because calls of another
// lane succeed again. Its past failures no longer count: a probe that started
// before the store came back will still fail, and must not return the lane to
// its longest backoff.
func (l *lane) expediteProbe(now time.Time, span time.Duration) {
	if l.isOpen() {
		return
	}
	l.failures = 1
	latest := l.from.Add(l.span)
	if latest.Before(now.Add(span)) {
		return
	}
	l.scheduleProbe(now, span, 0)
}

// scale returns d times f.
func scale(d time.Duration, f float64) time.Duration {
	return time.Duration(float64(d) * f)
}
