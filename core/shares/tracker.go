package shares

import (
	"cmp"
	"slices"
	"time"
)

// Tracker follows an entry's division over time: a share is reduced at once
// and grown only after it has been due for the whole grow delay. It is not
// safe for concurrent use.
type Tracker struct {
	growDelay time.Duration
	shares    map[string]*trackedShare
}

type trackedShare struct {
	slots, connections delayedValue
	unlimited          bool
	seen               bool
}

// NewTracker returns a tracker whose shares grow after growDelay. A tracker
// starts with nothing: an entry that joins sends nothing before the others
// have had growDelay to shrink.
func NewTracker(growDelay time.Duration) *Tracker {
	return &Tracker{growDelay: growDelay, shares: make(map[string]*trackedShare)}
}

// Step takes the division that follows from the current view and returns the
// shares that may be used now, sorted by address. Call it on every change of
// view, and about once a second besides so that shares grow.
func (t *Tracker) Step(now time.Time, desired []Share) []Share {
	for _, s := range t.shares {
		s.seen = false
	}
	for _, d := range desired {
		t.update(now, d)
	}
	current := make([]Share, 0, len(desired))
	for address, s := range t.shares {
		if !s.seen {
			delete(t.shares, address)
			continue
		}
		if s.slots.current == 0 {
			continue
		}
		share := Share{Address: address, Slots: s.slots.current}
		if !s.unlimited {
			share.Connections = max(1, s.connections.current)
		}
		current = append(current, share)
	}
	slices.SortFunc(current, func(a, b Share) int { return cmp.Compare(a.Address, b.Address) })
	return current
}

func (t *Tracker) update(now time.Time, d Share) {
	s := t.shares[d.Address]
	if s == nil {
		s = &trackedShare{}
		t.shares[d.Address] = s
	}
	s.seen = true
	s.unlimited = d.Connections <= 0
	s.slots.set(now, d.Slots, t.growDelay)
	s.connections.set(now, d.Connections, t.growDelay)
}

// delayedValue is a number that falls at once and rises late: now is the least that
// was wanted during the delay.
type delayedValue struct {
	current int
	// rises are growing values, each with the time since which at least it
	// was wanted without interruption.
	rises []pendingRise
}

type pendingRise struct {
	to    int
	since time.Time
}

func (l *delayedValue) set(now time.Time, v int, delay time.Duration) {
	l.applyRises(now, delay)
	since := now
	for n := len(l.rises); n > 0 && l.rises[n-1].to >= v; n-- {
		since = l.rises[n-1].since
		l.rises = l.rises[:n-1]
	}
	switch {
	case v <= l.current:
		l.current = v
		l.rises = nil
	default:
		l.rises = append(l.rises, pendingRise{to: v, since: since})
	}
	l.applyRises(now, delay)
}

func (l *delayedValue) applyRises(now time.Time, delay time.Duration) {
	for len(l.rises) > 0 && now.Sub(l.rises[0].since) >= delay {
		l.current = l.rises[0].to
		l.rises = l.rises[1:]
	}
}
