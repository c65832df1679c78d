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
	tierLast
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
	answers   int // since the allowance last changed

	fast, slow float64 // latency averages, nanoseconds
	samples    int
	failures   float64 // rate
	failed     int     // in a row
	recovered  int     // good answers in a row while slow or resting
	doublings  int     // of the rest
	probeAt    time.Time
	silentAt   time.Time // when the last silence was told; zero when answered since
	answeredAt time.Time
	trustSince time.Time

	tier        tier // of the list that holds it, or noTier
	position    int  // in that list
	class       tier // of the sums that count it, or noTier
	counted     int  // allowance in those sums
	countedOpen int  // free slots in those sums
	probeIndex  int  // in the probe heap
	groupMember int  // index in its group
}

// limit is how many requests may be in flight at the target.
func (t *target) limit() int {
	limit := t.Slots
	if t.Connections > 0 {
		limit = min(limit, t.Connections)
	}
	return limit
}

// room is how many requests may be in flight now.
func (t *target) room() int {
	switch {
	case t.gone || t.Leaving:
		return 0
	case t.state == Suspect || t.state == Ejected && !t.lastResort:
		return 0
	}
	return min(t.allowance, t.limit())
}

// usableClass is the tier that the target belongs to when it has a free slot.
func (t *target) usableClass() tier {
	switch {
	case t.room() == 0:
		return noTier
	case t.lastResort:
		return tierLast
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
		return t.fast
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
	if t.samples < minSamples && t.fast < bluntRatio*reference {
		return 1
	}
	return t.fast / reference
}

// bluntRatio is how many times its peers' latency an answer must have taken
// to be held against a target with few answers.
const bluntRatio = 8.0

// learnLatency takes an answer's latency into the averages.
func (t *target) learnLatency(ns float64) {
	if t.samples == 0 {
		t.fast, t.slow = ns, ns
	}
	// The first answers weigh as in a plain mean, or the very first would
	// stay dominant for long.
	gain := max(fastGain, 1/float64(t.samples+1))
	t.fast += gain * (ns - t.fast)
	gain = max(slowGain, 1/float64(t.samples+1))
	t.slow += gain * (ns - t.slow)
	t.samples++
}

// lengthenRest doubles the next rest.
func (t *target) lengthenRest() {
	t.doublings = min(t.doublings+1, maxRestDoublings)
}

// grow raises the allowance after an answer.
func (t *target) grow() {
	if t.allowance >= t.limit() {
		return
	}
	t.answers++
	if t.answers < t.allowance {
		return
	}
	t.answers = 0
	t.allowance = min(2*t.allowance, t.limit())
}
