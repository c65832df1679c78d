package shares

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

const (
	// demandTimeConstant is the time constant of the smoothed demand.
	demandTimeConstant = time.Second
	// demandSteps is the number of quantization steps in an equal share.
	// demandDeadband is the number of steps by which the demand must differ from
	// the published one before that is updated. Each shift of shares leaves
	// slots unused for the grow delay, so random variations of the arrival rate
	// must not cause one.
	demandSteps    = 4
	demandDeadband = 0.75
	// maxDemand limits the demand that counts for one entry, in equal shares.
	maxDemand = 3
)

// Demand estimates how many slots of a service an entry needs. The published
// value changes rarely. It is not safe for concurrent use.
type Demand struct {
	smoothed  float64
	observed  time.Time
	published int // in steps
	known     bool
}

// Observe records the numbers of requests that are in flight and queued now. It
// should be called a few times per second.
func (d *Demand) Observe(now time.Time, inFlight, queued int) {
	v := float64(inFlight + queued)
	if !d.known {
		d.known = true
		d.smoothed, d.observed = v, now
		return
	}
	elapsed := now.Sub(d.observed)
	if elapsed <= 0 {
		return
	}
	d.observed = now
	gain := 1 - math.Exp(-float64(elapsed)/float64(demandTimeConstant))
	d.smoothed += gain * (v - d.smoothed)
}

// Publish returns the demand to send to the other entries, in slots. slots is the
// service's total number of slots, and entries the number of entries.
func (d *Demand) Publish(slots, entries int) uint32 {
	step := demandStep(slots, entries)
	at := d.smoothed / step
	if math.Abs(at-float64(d.published)) > demandDeadband {
		d.published = int(math.Round(at))
	}
	return uint32(math.Round(float64(d.published) * step))
}

func demandStep(slots, entries int) float64 {
	return max(float64(slots)/float64(max(entries, 1))/demandSteps, 0.25)
}

// WeightByDemand returns a copy of entries with weights that follow from their
// published demands. Half of an entry's weight is equal for all and half is
// proportional to its demand, so that an entry without demand keeps slots for
// its next requests. Entries with a demand close to the mean get the same
// weight: while the load rises or falls everywhere, they publish their steps at
// different times, and a shift of shares because of that would be reversed soon.
func WeightByDemand(entries []Entry, demand map[model.DaemonID]uint32, slots int) []Entry {
	equal := uint32(max(slots/max(len(entries), 1), 1))
	claims := make([]uint32, len(entries))
	for i, e := range entries {
		claims[i] = min(demand[e.ID], maxDemand*equal)
	}
	equalizeTypical(claims, max(equal/demandSteps, 1))
	weighed := make([]Entry, len(entries))
	for i, e := range entries {
		e.Weight = weightUnit*equal/2 + weightUnit*claims[i]
		weighed[i] = e
	}
	return weighed
}

// weightUnit scales weights so that half of a small share is a whole number.
const weightUnit = 2

// equalizeTypical replaces the claims close to the mean by the mean of these
// claims. A claim is close if it differs from the mean by at most half of the
// mean or one step, whichever is larger.
func equalizeTypical(claims []uint32, step uint32) {
	if len(claims) == 0 {
		return
	}
	sum := uint32(0)
	for _, c := range claims {
		sum += c
	}
	mean := sum / uint32(len(claims))
	band := max(mean/2, step)
	typical := func(c uint32) bool { return c <= mean+band && c+band >= mean }
	sum, count := uint32(0), uint32(0)
	for _, c := range claims {
		if typical(c) {
			sum += c
			count++
		}
	}
	for i, c := range claims {
		if typical(c) {
			claims[i] = sum / count
		}
	}
}
