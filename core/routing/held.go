package routing

import "time"

// heldSlot is a slot whose exchange was abandoned as silent. The target may
// still be processing the request, so giving the slot to another request
// immediately would exceed the target's slots. The slot becomes free when the
// hold ends.
type heldSlot struct {
	t     *target
	until time.Time
	over  bool
}

// maxHold limits how long a slot stays taken after its exchange was abandoned.
const maxHold = time.Second

// release frees the slot of a choice. The slot of a silent exchange stays taken
// for as long again as the exchange has lasted, unless so many exchanges are
// overdue that lost connections are a more likely cause than late responses.
func (b *Balancer) release(c *Choice, now time.Time, silent bool) {
	if c.released {
		return
	}
	c.released = true
	if !silent || b.overdueRate > manyOverdueRate {
		c.t.inflight--
		return
	}
	c.t.held++
	c.hold = &heldSlot{t: c.t, until: now.Add(min(now.Sub(c.started), maxHold))}
	b.heldSlots = append(b.heldSlots, c.hold)
	if len(b.heldSlots) == 1 || c.hold.until.Before(b.nextHoldEnd) {
		b.nextHoldEnd = c.hold.until
	}
}

// endExpiredHolds frees the held slots whose hold has expired.
func (b *Balancer) endExpiredHolds(now time.Time) {
	if len(b.heldSlots) == 0 || now.Before(b.nextHoldEnd) {
		return
	}
	kept := b.heldSlots[:0]
	for _, s := range b.heldSlots {
		if !s.over && now.Before(s.until) {
			if len(kept) == 0 || s.until.Before(b.nextHoldEnd) {
				b.nextHoldEnd = s.until
			}
			kept = append(kept, s)
			continue
		}
		b.endHold(s)
	}
	clear(b.heldSlots[len(kept):])
	b.heldSlots = kept
}

func (b *Balancer) endHold(s *heldSlot) {
	if s.over {
		return
	}
	s.over = true
	s.t.inflight--
	s.t.held--
	b.tiers.place(s.t)
}
