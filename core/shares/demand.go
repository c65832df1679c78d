package shares

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

const (
	// demandTimeConstant is the time constant of the smoothed demand.
	demandTimeConstant = time.Second
	// demandSteps is into how many steps an equal share is quantised, and
	// demandDeadband how many steps the demand must have moved before the
	// published one follows. Every move of shares leaves slots unused for the
	// grow delay, so that the noise of arrivals must not cause any.
	demandSteps    = 4
	demandDeadband = 0.75
	// maxDemand bounds what one entry may claim, in equal shares.
	maxDemand = 3
)

// Demand is an entry's own estimate of how many slots of a service it needs.
// What it publishes changes seldom. It is not safe for concurrent use.
type Demand struct {
	smoothed  float64
	observed  time.Time
	published int // steps
	known     bool
}

// Observe takes the requests in flight and waiting now; call it a few times a
// second.
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

// Publish returns the demand to tell the other entries, in slots, given the
// service's slots in all and the number of entries.
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

// WeightByDemand returns entries with the weights that follow from their published
// demands: half of the slots are divided equally and half by demand, so that
// an entry without demand keeps room for its next requests. Entries whose
// demand is near the mean count as equal to each other: while load rises or
// falls everywhere they publish their steps at different moments, and shares
// moved for that would be moved back.
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

// weightUnit keeps the halves of small shares whole.
const weightUnit = 2

// equalizeTypical replaces the claims that differ from the mean by no more than
// half of it, or than one step, by their own mean.
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
