package routing

import (
	"container/heap"
	"time"
)

// probeHeap orders the targets that are slow, suspect or resting by when each
// may be tried again.
type probeHeap []*target

func (h probeHeap) Len() int { return len(h) }

func (h probeHeap) Less(i, j int) bool {
	if !h[i].probeAt.Equal(h[j].probeAt) {
		return h[i].probeAt.Before(h[j].probeAt)
	}
	return h[i].Address < h[j].Address
}

func (h probeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].probeIndex, h[j].probeIndex = i, j
}

// Push implements heap.Interface.
func (h *probeHeap) Push(x any) {
	t := x.(*target)
	t.probeIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *probeHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.probeIndex = notPlaced
	return t
}

// schedule sets when t may be tried again.
func (h *probeHeap) schedule(t *target, at time.Time) {
	t.probeAt = at
	if t.probeIndex == notPlaced {
		heap.Push(h, t)
		return
	}
	heap.Fix(h, t.probeIndex)
}

func (h *probeHeap) remove(t *target) {
	if t.probeIndex != notPlaced {
		heap.Remove(h, t.probeIndex)
	}
}

// probe returns a doubtful target that q is to try out, or nil.
func (b *Balancer) probe(now time.Time, q Query) *target {
	b.sinceProbe++
	if len(b.probes) == 0 {
		return nil
	}
	t := b.probes[0]
	if now.Before(t.probeAt) {
		return nil
	}
	if !b.probeAllowed(now, t, q) {
		return nil
	}
	if t.limit() == 0 || t.inflight >= t.limit() || avoided(q, t) {
		b.probes.schedule(t, now.Add(b.o.BaseProbeDelay/busyProbe))
		return nil
	}
	b.sinceProbe = 0
	b.probes.schedule(t, now.Add(b.restFor(t)))
	return t
}

// probeAllowed spaces probes, because each risks its request's latency; a
// non-idempotent request is risked only when the probe is late. A suspect
// target is proven at once by any request: it goes over a new connection,
// whose opening shows that the target is there.
func (b *Balancer) probeAllowed(now time.Time, t *target, q Query) bool {
	switch {
	case t.state == Suspect:
		return true
	case now.Sub(t.probeAt) > probeLateness:
		return true
	case q.NonIdempotent:
		return false
	}
	return b.sinceProbe >= probeSpacing
}

// busyProbe divides the first rest: that soon a probe that found no free slot
// is tried again.
const busyProbe = 16

// suspectHeadStart puts suspect targets before all others in the heap, or they
// would wait behind slow ones that are due but spaced.
const suspectHeadStart = time.Hour

// restFor is how long a target waits for its next probe.
func (b *Balancer) restFor(t *target) time.Duration {
	return min(b.o.BaseProbeDelay<<t.doublings, b.o.MaxProbeDelay)
}
