package routing

import "time"

// limboSlot is a slot whose exchange was given up as silent. The target may
// still be at work on it: a slot given to another request at once would be one
// more than the target has. It comes back a while later.
type limboSlot struct {
	t     *target
	until time.Time
	over  bool
}

// maxLimbo bounds how long a slot stays taken after its exchange was given up.
const maxLimbo = time.Second

// release gives the slot of a choice back. That of a silent exchange stays
// taken for as long again as the exchange has lasted, unless so many are
// overdue that their connections are lost rather than their answers late.
func (b *Balancer) release(c *Choice, now time.Time, silent bool) {
	if c.released {
		return
	}
	c.released = true
	if !silent || b.overdueRate > manyOverdue {
		c.t.inflight--
		return
	}
	c.t.held++
	c.limbo = &limboSlot{t: c.t, until: now.Add(min(now.Sub(c.started), maxLimbo))}
	b.limbo = append(b.limbo, c.limbo)
	if len(b.limbo) == 1 || c.limbo.until.Before(b.limboNext) {
		b.limboNext = c.limbo.until
	}
}

// settle gives back the slots whose time in limbo is over.
func (b *Balancer) settle(now time.Time) {
	if len(b.limbo) == 0 || now.Before(b.limboNext) {
		return
	}
	kept := b.limbo[:0]
	for _, s := range b.limbo {
		if !s.over && now.Before(s.until) {
			if len(kept) == 0 || s.until.Before(b.limboNext) {
				b.limboNext = s.until
			}
			kept = append(kept, s)
			continue
		}
		b.endLimbo(s)
	}
	clear(b.limbo[len(kept):])
	b.limbo = kept
}

func (b *Balancer) endLimbo(s *limboSlot) {
	if s.over {
		return
	}
	s.over = true
	s.t.inflight--
	s.t.held--
	b.tiers.place(s.t)
}
