package routing

import (
	"time"
)

// State says how the balancer treats a target.
type State uint8

// The states of a target.
const (
	// Healthy targets are chosen freely, up to their allowance.
	Healthy State = iota
	// Slow targets are chosen when waiting for a better one is expected to take
	// longer.
	Slow
	// Suspect targets had a silent exchange. They receive one request at a
	// time, over a new connection, until they respond to one.
	Suspect
	// Ejected targets receive only probes, unless they are the last resort.
	Ejected
)

var stateNames = [...]string{"healthy", "slow", "suspect", "resting"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// tier classifies the targets that have a free slot, best first.
type tier int8

const (
	tierNear tier = iota
	tierFar
	tierSlow
	tierLastResort
	numTiers
	noTier tier = -1
)

// notPlaced is the position of a target that is in no list and no heap.
const notPlaced = -1

// target is the balancer's record of one instance.
type target struct {
	Target
	group *group
	state State
	// gone targets are no longer listed. Their record is kept until their last
	// exchange ends.
	gone bool
	// lastResort targets qualify for ejection, but too many others are out of
	// rotation.
	lastResort bool
	inflight   int // slots taken, including held ones
	held       int // slots of exchanges abandoned as silent
	// allowance is how many slots may be used now. For a target that is new or
	// was restored after an ejection, it starts at 1 and doubles with the
	// target's responses.
	allowance int
	responses int // responses since the allowance last doubled

	shortAverage, longAverage float64 // latency averages, in nanoseconds
	samples                   int
	failureRate               float64 // decaying average of failed exchanges, from 0 to 1
	failuresInRow             int     // consecutive failed exchanges
	goodResponses             int     // consecutive good responses while slow or ejected
	probeDoublings            int     // doublings of the probe delay
	probeAt                   time.Time
	silentAt                  time.Time // time of the last silence; zero after a later response
	respondedAt               time.Time
	trustSince                time.Time

	tier         tier // whose list contains the target, or noTier
	position     int  // in that list
	countedTier  tier // whose sums include the target, or noTier
	countedSlots int  // usable slots in those sums
	countedFree  int  // free slots in those sums
	probeIndex   int  // in the probe heap
	groupMember  int  // index in its group
}

// limit is the maximum number of requests in flight at the target.
func (t *target) limit() int {
	limit := t.Slots
	if t.Connections > 0 {
		limit = min(limit, t.Connections)
	}
	return limit
}

// usableSlots is how many requests may be in flight at the target in its
// current state. Probes are not subject to it.
func (t *target) usableSlots() int {
	switch {
	case t.gone || t.Leaving:
		return 0
	case t.state == Suspect || t.state == Ejected && !t.lastResort:
		return 0
	}
	return min(t.allowance, t.limit())
}

// usableTier is the tier to which the target belongs when it has a free slot.
func (t *target) usableTier() tier {
	switch {
	case t.usableSlots() == 0:
		return noTier
	case t.lastResort:
		return tierLastResort
	case t.state == Slow:
		return tierSlow
	case t.group.near:
		return tierNear
	}
	return tierFar
}

// latency is the expected latency of a request, in nanoseconds. For a target
// with few responses it is slightly below the reference: otherwise a target
// that responded once would be preferred to those that were never tried.
func (t *target) latency(usual float64) float64 {
	if t.samples >= minSamples {
		return t.shortAverage
	}
	if t.group.reference > 0 {
		usual = t.group.reference
	}
	return unprovenFactor * usual
}

// unprovenFactor is the fraction of the reference latency that is expected of a
// target with few responses.
const unprovenFactor = 0.9

// ratio is the target's latency divided by the reference. It is 1 when there is
// too little data to compare.
func (t *target) ratio(reference float64) float64 {
	if reference <= 0 {
		return 1
	}
	if t.samples < minSamples && t.shortAverage < unprovenSlowRatio*reference {
		return 1
	}
	return t.shortAverage / reference
}

// unprovenSlowRatio is the multiple of its peers' latency from which a target
// with few responses is compared with them.
const unprovenSlowRatio = 8.0

// learnLatency adds a response's latency to the averages.
func (t *target) learnLatency(ns float64) {
	if t.samples == 0 {
		t.shortAverage, t.longAverage = ns, ns
	}
	// The first responses are weighted as in an arithmetic mean; otherwise the
	// very first one would dominate the average for long.
	gain := max(shortGain, 1/float64(t.samples+1))
	t.shortAverage += gain * (ns - t.shortAverage)
	gain = max(longGain, 1/float64(t.samples+1))
	t.longAverage += gain * (ns - t.longAverage)
	t.samples++
}

// lengthenProbeDelay doubles the delay until the next probe, up to
// maxProbeDoublings times.
func (t *target) lengthenProbeDelay() {
	t.probeDoublings = min(t.probeDoublings+1, maxProbeDoublings)
}

// grow doubles the allowance after as many responses as the current allowance.
func (t *target) grow() {
	if t.allowance >= t.limit() {
		return
	}
	t.responses++
	if t.responses < t.allowance {
		return
	}
	t.responses = 0
	t.allowance = min(2*t.allowance, t.limit())
}
