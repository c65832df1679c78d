package routing

import (
	"container/heap"
	"time"
)

// probeHeap orders slow, suspect and ejected targets by the time of their next
// probe.
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

// schedule sets the time of t's next probe.
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

// probe returns a slow, suspect or ejected target that q is to probe, or nil.
func (b *Balancer) probe(now time.Time, q Query) *target {
	b.sinceProbe++
	if len(b.probes) == 0 {
		return nil
	}
	t := b.probes[0]
	if now.Before(t.probeAt) {
		return nil
	}
	if !b.isProbeAllowed(now, t, q) {
		return nil
	}
	if t.limit() == 0 || t.inflight >= t.limit() || isAvoided(q, t) {
		b.probes.schedule(t, now.Add(b.o.BaseProbeDelay/busyProbeDivisor))
		return nil
	}
	b.sinceProbe = 0
	b.probes.schedule(t, now.Add(b.probeDelay(t)))
	return t
}

// isProbeAllowed spaces probes, because each may cost its request latency. A
// non-idempotent request is used only when the probe is late. Any request may
// probe a suspect target at once: it uses a new connection, and opening it
// shows that the target is reachable.
func (b *Balancer) isProbeAllowed(now time.Time, t *target, q Query) bool {
	switch {
	case t.state == Suspect:
		return true
	case now.Sub(t.probeAt) > maxProbeLateness:
		return true
	case q.NonIdempotent:
		return false
	}
	return b.sinceProbe >= probeSpacing
}

// busyProbeDivisor divides BaseProbeDelay to give the delay after which a probe
// that found no free slot is repeated.
const busyProbeDivisor = 16

// suspectHeadStart sorts suspect targets before all others in the heap;
// otherwise they would wait behind slow targets whose probes are due but
// limited by probeSpacing.
const suspectHeadStart = time.Hour

// probeDelay is how long a target waits for its next probe.
func (b *Balancer) probeDelay(t *target) time.Duration {
	return min(b.o.BaseProbeDelay<<t.probeDoublings, b.o.MaxProbeDelay)
}
