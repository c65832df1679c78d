package shares

import (
	"cmp"
	"slices"
	"time"
)

// Tracker applies an entry's division over time. It reduces a share at once, and
// raises it only to a value that the division has given for the whole grow
// delay. It is not safe for concurrent use.
type Tracker struct {
	growDelay time.Duration
	shares    map[string]*trackedShare
}

type trackedShare struct {
	slots, connections delayedValue
	unlimited          bool
	seen               bool
}

// NewTracker returns a tracker whose shares grow after growDelay. It starts
// without shares, so that an entry that joins sends no requests until the other
// entries have had growDelay to reduce their shares.
func NewTracker(growDelay time.Duration) *Tracker {
	return &Tracker{growDelay: growDelay, shares: make(map[string]*trackedShare)}
}

// Step takes the division that follows from the current view and returns the
// shares that may be used now, sorted by address. It should be called on every
// change of the view, and also about once per second so that shares grow.
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

// delayedValue is a number that falls at once and rises after a delay: current is
// the smallest value that was set during the delay.
type delayedValue struct {
	current int
	// rises holds the pending higher values in increasing order. All values set
	// since a rise's time were at least as large as that rise.
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
