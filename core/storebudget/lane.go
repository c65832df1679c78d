package storebudget

import "time"

// lane counts the failures in a row of the classes that share it, and says
// when the next call may try again.
type lane struct {
	failures int
	// probeAt is when the next probe may go, known once drawn.
	probeAt    time.Time
	probeDrawn bool
	// from, span and low describe the gate still to be drawn: it lies between
	// low and the whole of span after from.
	from time.Time
	span time.Duration
	low  float64
	// probing is true between the admission of a probe and its result.
	probing bool
}

// isOpen is whether no failure holds calls back.
func (l *lane) isOpen() bool { return l.failures == 0 }

// ignoresFailure is whether a failure reported now was a call's that was already in
// flight when the lane closed.
func (l *lane) ignoresFailure() bool { return !l.isOpen() && !l.probing }

func (l *lane) scheduleProbe(from time.Time, span time.Duration, low float64) {
	l.from, l.span, l.low = from, span, low
	l.probeDrawn = false
}

// probeReady is whether a probe may go now, and if not when.
func (l *lane) probeReady(now time.Time, u float64) (bool, time.Time) {
	if !l.probeDrawn {
		l.probeAt = l.from.Add(scale(l.span, l.low+(1-l.low)*u))
		l.probeDrawn = true
	}
	return !now.Before(l.probeAt), l.probeAt
}

// expediteProbe lets a closed lane probe within span, because calls of another lane
// are answered again. Its past failures no longer count: a probe that set out
// before the store came back is still going to fail, and must not send the
// lane back to its longest wait.
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

func scale(d time.Duration, f float64) time.Duration {
	return time.Duration(float64(d) * f)
}
