package routing

// tiers holds the targets that have a free slot, by tier, and what each tier
// can do as a whole. Every change is in constant time.
type tiers struct {
	free [numTiers][]*target
	// slots sums the allowances of all targets of a class, free or not.
	slots [numTiers]int
	// freeSlots sums the free slots of all targets.
	freeSlots int
	// latency is the average of each class's answers, nanoseconds.
	latency [numTiers]float64
}

// place puts t where its state and free slots say.
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

// count moves t's allowance and free slots to the sums of class.
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

// total returns the allowances of all tiers.
func (s *tiers) total() int {
	sum := 0
	for _, n := range s.slots {
		sum += n
	}
	return sum
}

// learn takes an answer's latency into the class average.
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
	// acceptableSlowdown is how many times the usual latency a slot may cost and be
	// taken without asking whether waiting is better: a request that waits
	// also delays all that come after it.
	acceptableSlowdown = 1.5
	// maxDefer is the longest wait for a better slot, in usual latencies.
	// Beyond it a slow answer is better than the shedding that would follow.
	maxDefer = 1.0
)

// beatsWaiting reports whether taking a slot of the given tier with the expected
// latency beats waiting for one of the better tiers, whose slots come free at
// a known rate: with n requests ahead, in about (n+1)/rate.
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
