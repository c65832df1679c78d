package routing

// tiers holds the targets that have a free slot, by tier, and the slots and
// latency of each tier as a whole. Every update takes constant time.
type tiers struct {
	free [numTiers][]*target
	// slots sums, per tier, the usable slots of all targets, free or not.
	slots [numTiers]int
	// freeSlots sums the free slots of all targets.
	freeSlots int
	// latency is the average latency of each tier's responses, in nanoseconds.
	latency [numTiers]float64
}

// place moves t to the list and sums that match its state and free slots.
func (s *tiers) place(t *target) {
	class := t.usableTier()
	s.count(t, class)
	if class != noTier && t.inflight >= t.usableSlots() {
		class = noTier
	}
	if class == t.tier {
		return
	}
	s.unlist(t)
	if class != noTier {
		t.tier = class
		t.position = len(s.free[class])
		s.free[class] = append(s.free[class], t)
	}
}

func (s *tiers) unlist(t *target) {
	if t.tier == noTier {
		return
	}
	list := s.free[t.tier]
	last := len(list) - 1
	list[t.position] = list[last]
	list[t.position].position = t.position
	list[last] = nil
	s.free[t.tier] = list[:last]
	t.tier = noTier
	t.position = notPlaced
}

// count moves t's usable and free slots to the sums of class.
func (s *tiers) count(t *target, class tier) {
	if t.countedTier != noTier {
		s.slots[t.countedTier] -= t.countedSlots
		s.freeSlots -= t.countedFree
	}
	t.countedTier = class
	t.countedSlots = t.usableSlots()
	t.countedFree = max(t.countedSlots-t.inflight, 0)
	if class != noTier {
		s.slots[class] += t.countedSlots
		s.freeSlots += t.countedFree
	}
}

// total returns the usable slots of all tiers.
func (s *tiers) total() int {
	sum := 0
	for _, n := range s.slots {
		sum += n
	}
	return sum
}

// learn adds a response's latency to the average of its tier.
func (s *tiers) learn(class tier, ns float64) {
	if class == noTier {
		return
	}
	if s.latency[class] == 0 {
		s.latency[class] = ns
		return
	}
	s.latency[class] += longGain * (ns - s.latency[class])
}

const (
	// acceptableSlowdown is the multiple of the usual latency up to which a
	// slot is taken without comparing it with waiting: a request that waits
	// also delays all requests behind it.
	acceptableSlowdown = 1.5
	// maxDefer is the longest expected wait for a better slot, as a multiple of
	// the usual latency. Beyond it a slow response is better than the load
	// shedding that would follow.
	maxDefer = 1.0
)

// beatsWaiting reports whether taking a slot of the given tier with the
// expected latency is at least as good as waiting for a slot of a better tier.
// Slots of the better tiers become free at a known rate; with n requests ahead
// the expected wait is about (n+1)/rate. initial is the latency assumed of
// tiers without responses.
func (s *tiers) beatsWaiting(of tier, latency float64, ahead int, initial float64) bool {
	slots, rate := 0, 0.0
	for better := tierNear; better < of; better++ {
		if s.slots[better] == 0 {
			continue
		}
		each := s.latency[better]
		if each == 0 {
			each = initial
		}
		slots += s.slots[better]
		rate += float64(s.slots[better]) / each
	}
	if slots == 0 {
		return true
	}
	wait := float64(ahead+1) / rate
	usual := float64(slots) / rate
	switch {
	case latency <= acceptableSlowdown*usual:
		return true
	case wait >= maxDefer*usual:
		return true
	}
	return latency <= usual+wait
}
