package routing

import "time"

// Pick takes a slot on the best target. rnd is a uniformly random number. The
// second result is false when no slot is free, or when waiting for a better one
// is expected to be faster. In either case the request should wait until a
// Done, an Update or a longer queue changes the decision.
func (b *Balancer) Pick(now time.Time, rnd uint64, q Query) (*Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endExpiredHolds(now)
	if t := b.probe(now, q); t != nil {
		return b.take(now, t), true
	}
	for kind := tierNear; kind < numTiers; kind++ {
		t := b.sample(now, kind, rnd, q)
		if t == nil {
			continue
		}
		if !b.tiers.beatsWaiting(kind, t.latency(b.typicalLatency()), q.Ahead, b.typicalLatency()) {
			return nil, false
		}
		return b.take(now, t), true
	}
	return nil, false
}

// sample returns the best of a few random targets of a tier, or nil.
func (b *Balancer) sample(now time.Time, kind tier, rnd uint64, q Query) *target {
	list := b.tiers.free[kind]
	if len(list) == 0 {
		return nil
	}
	if len(list) <= b.o.Choices {
		return b.bestOf(now, list, rnd, q)
	}
	var best *target
	for range b.o.Choices {
		rnd = mix64(rnd)
		t := list[boundedRandom(rnd, len(list))]
		if !isAvoided(q, t) && b.isBetter(now, t, best, q) {
			best = t
		}
	}
	if best == nil {
		return b.bestOf(now, list, rnd, q)
	}
	return best
}

// bestOf returns the best target of a short list, or of maxScan targets of a
// long one. It starts at a random position, so that equal targets are chosen
// equally often.
func (b *Balancer) bestOf(now time.Time, list []*target, rnd uint64, q Query) *target {
	var best *target
	first := boundedRandom(mix64(rnd), len(list))
	for i := range min(len(list), maxScan) {
		t := list[(first+i)%len(list)]
		if !isAvoided(q, t) && b.isBetter(now, t, best, q) {
			best = t
		}
	}
	return best
}

// maxScan limits how many targets are examined when all sampled ones are
// avoided.
const maxScan = 32

func (b *Balancer) isBetter(now time.Time, t, than *target, q Query) bool {
	if than == nil {
		return true
	}
	if q.NonIdempotent {
		proven := now.Sub(t.respondedAt) <= b.o.ProvenWithin
		if proven != (now.Sub(than.respondedAt) <= b.o.ProvenWithin) {
			return proven
		}
	}
	return b.cost(t) < b.cost(than)
}

// cost is the expected latency, weighted by the fraction of the target's slots
// in use.
func (b *Balancer) cost(t *target) float64 {
	used := float64(t.inflight) / float64(t.limit())
	return t.latency(b.typicalLatency()) * (1 + used)
}

// typicalLatency is the mean latency of all responses in nanoseconds, or
// InitialLatency before the first.
func (b *Balancer) typicalLatency() float64 {
	if b.mean > 0 {
		return b.mean
	}
	return float64(b.o.InitialLatency)
}

func isAvoided(q Query, t *target) bool {
	for _, address := range q.Avoid {
		if address == t.Address {
			return true
		}
	}
	return false
}

// take takes a slot on t. It allocates memory only while more requests are in
// flight than ever before.
func (b *Balancer) take(now time.Time, t *target) *Choice {
	t.inflight++
	b.tiers.place(t)
	var c *Choice
	if n := len(b.recycled); n > 0 {
		c = b.recycled[n-1]
		b.recycled = b.recycled[:n-1]
	} else {
		c = &Choice{}
	}
	*c = Choice{
		b:                     b,
		t:                     t,
		address:               t.Address,
		task:                  t.Task,
		started:               now,
		requiresNewConnection: !t.silentAt.IsZero(),

		overdueAfter: b.latencyBound(t, overdueDeviations),
		silenceAfter: max(b.latencyBound(t, silenceDeviations), b.o.MinSilence),
		trustSince:   laterOf(t.trustSince, b.trustSince),
	}
	return c
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// boundedRandom maps a uniformly random number to [0, n).
func boundedRandom(rnd uint64, n int) int {
	return int((rnd >> 32) * uint64(n) >> 32)
}

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
