package routing

import (
	"time"
)

// State says how a target is treated.
type State uint8

// The states of a target.
const (
	// Healthy targets are chosen freely, up to their allowance.
	Healthy State = iota
	// Slow targets are chosen when waiting for a better one takes longer.
	Slow
	// Suspect targets had an exchange go silent: one request at a time, over
	// a new connection, until one is answered.
	Suspect
	// Ejected targets get nothing but probes.
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

// tier orders the kinds of targets that have a free slot, best first.
type tier int8

const (
	tierNear tier = iota
	tierFar
	tierSlow
	tierLastResort
	numTiers
	noTier tier = -1
)

// notPlaced is the position of a target that is in no list or heap.
const notPlaced = -1

// target is what the balancer knows of one instance.
type target struct {
	Target
	group *group
	state State
	// gone targets are no longer listed; they stay until their last exchange
	// ends.
	gone bool
	// lastResort targets should rest, but too many others do.
	lastResort bool
	inflight   int // slots taken, the held ones included
	held       int // slots in limbo
	// allowance is how many slots may be used now: it doubles from 1 with the
	// answers of a target that is new or back from a rest.
	allowance int
	responses int // since the allowance last changed

	shortAverage, longAverage float64 // latency averages, nanoseconds
	samples                   int
	failureRate               float64 // rate
	failuresInRow             int     // in a row
	goodResponses             int     // good answers in a row while slow or resting
	probeDoublings            int     // of the rest
	probeAt                   time.Time
	silentAt                  time.Time // when the last silence was told; zero when answered since
	respondedAt               time.Time
	trustSince                time.Time

	tier         tier // of the list that holds it, or noTier
	position     int  // in that list
	countedTier  tier // of the sums that count it, or noTier
	countedSlots int  // allowance in those sums
	countedFree  int  // free slots in those sums
	probeIndex   int  // in the probe heap
	groupMember  int  // index in its group
}

// limit is how many requests may be in flight at the target.
func (t *target) limit() int {
	limit := t.Slots
	if t.Connections > 0 {
		limit = min(limit, t.Connections)
	}
	return limit
}

// usableSlots is how many requests may be in flight now.
func (t *target) usableSlots() int {
	switch {
	case t.gone || t.Leaving:
		return 0
	case t.state == Suspect || t.state == Ejected && !t.lastResort:
		return 0
	}
	return min(t.allowance, t.limit())
}

// usableTier is the tier that the target belongs to when it has a free slot.
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

// latency is the expected latency of a request, in nanoseconds. Of a target
// with few answers it is a little below usual: with anything above, a target
// that once answered would be preferred to those that never had a chance to.
func (t *target) latency(usual float64) float64 {
	if t.samples >= minSamples {
		return t.shortAverage
	}
	if t.group.reference > 0 {
		usual = t.group.reference
	}
	return unprovenFactor * usual
}

// unprovenFactor is the part of the usual latency that is expected of a target
// with few answers.
const unprovenFactor = 0.9

// ratio compares the target's latency with a reference; 1 when there is too
// little to compare.
func (t *target) ratio(reference float64) float64 {
	if reference <= 0 {
		return 1
	}
	if t.samples < minSamples && t.shortAverage < unprovenSlowRatio*reference {
		return 1
	}
	return t.shortAverage / reference
}

// unprovenSlowRatio is how many times its peers' latency an answer must have taken
// to be held against a target with few answers.
const unprovenSlowRatio = 8.0

// learnLatency takes an answer's latency into the averages.
func (t *target) learnLatency(ns float64) {
	if t.samples == 0 {
		t.shortAverage, t.longAverage = ns, ns
	}
	// The first answers weigh as in a plain mean, or the very first would
	// stay dominant for long.
	gain := max(shortGain, 1/float64(t.samples+1))
	t.shortAverage += gain * (ns - t.shortAverage)
	gain = max(longGain, 1/float64(t.samples+1))
	t.longAverage += gain * (ns - t.longAverage)
	t.samples++
}

// lengthenProbeDelay doubles the next rest.
func (t *target) lengthenProbeDelay() {
	t.probeDoublings = min(t.probeDoublings+1, maxProbeDoublings)
}

// grow raises the allowance after an answer.
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
