package storebudget

import "time"

// lane counts the failures in a row of the classes that share it, and says
// when the next call may try again.
type lane struct {
	failures int
	// gate is when the next probe may go, known once drawn.
	gate  time.Time
	drawn bool
	// from, span and low describe the gate still to be drawn: it lies between
	// low and the whole of span after from.
	from time.Time
	span time.Duration
	low  float64
	// probing is true between the admission of a probe and its result.
	probing bool
}

// open is whether no failure holds calls back.
func (l *lane) open() bool { return l.failures == 0 }

// settled is whether a failure reported now was a call's that was already in
// flight when the lane closed.
func (l *lane) settled() bool { return !l.open() && !l.probing }

func (l *lane) wait(from time.Time, span time.Duration, low float64) {
	l.from, l.span, l.low = from, span, low
	l.drawn = false
}

// ready is whether a probe may go now, and if not when.
func (l *lane) ready(now time.Time, u float64) (bool, time.Time) {
	if !l.drawn {
		l.gate = l.from.Add(fraction(l.span, l.low+(1-l.low)*u))
		l.drawn = true
	}
	return !now.Before(l.gate), l.gate
}

// hasten lets a closed lane probe within span, because calls of another lane
// are answered again. Its past failures no longer count: a probe that set out
// before the store came back is still going to fail, and must not send the
// lane back to its longest wait.
func (l *lane) hasten(now time.Time, span time.Duration) {
	if l.open() {
		return
	}
	l.failures = 1
	latest := l.from.Add(l.span)
	if latest.Before(now.Add(span)) {
		return
	}
	l.wait(now, span, 0)
}

func fraction(d time.Duration, f float64) time.Duration {
	return time.Duration(float64(d) * f)
}
