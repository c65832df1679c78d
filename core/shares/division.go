package shares

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/guavarill/guavarill/core/model"
)

// division is the state of one call of Divide. All arithmetic is on integers, so
// that entries on different processors compute the same result.
type division struct {
	entries []divisionEntry // by ID
	targets []divisionTarget
	zones   *zonePlan
	// assigned holds the number of slots of each target that each entry has,
	// one row per target.
	assigned []int32
}

type divisionEntry struct {
	Entry
	hash  uint64
	zone  int
	quota int
	left  int
}

type divisionTarget struct {
	Capacity
	hash uint64
	zone int
	// parts is the number of slots to assign: Slots, or more if there are fewer
	// slots than entries.
	parts int
	left  int
}

func newDivision(entries []Entry, targets []Capacity) *division {
	d := &division{}
	for _, e := range entries {
		e.Weight = max(e.Weight, 1)
		d.entries = append(d.entries, divisionEntry{Entry: e, hash: xxhash.Sum64String(string(e.ID))})
	}
	slices.SortFunc(d.entries, func(a, b divisionEntry) int { return cmp.Compare(a.ID, b.ID) })
	d.entries = slices.CompactFunc(d.entries, func(a, b divisionEntry) bool { return a.ID == b.ID })
	for _, t := range targets {
		if t.Connections > 0 {
			t.Slots = min(t.Slots, t.Connections)
		}
		if t.Slots <= 0 {
			continue
		}
		d.targets = append(d.targets, divisionTarget{Capacity: t, hash: xxhash.Sum64String(t.Address)})
	}
	slices.SortFunc(d.targets, compareTargets)
	d.targets = slices.CompactFunc(d.targets, func(a, b divisionTarget) bool { return a.Address == b.Address })
	return d
}

// compareTargets orders targets by hash, so that the order of assignment does not
// depend on their zones or ages.
func compareTargets(a, b divisionTarget) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.Address, b.Address)
}

func (d *division) indexOf(id model.DaemonID) (int, bool) {
	return slices.BinarySearchFunc(d.entries, id, func(e divisionEntry, id model.DaemonID) int {
		return cmp.Compare(e.ID, id)
	})
}

func (d *division) compute() {
	d.assigned = make([]int32, len(d.entries)*len(d.targets))
	total := d.countParts()
	d.setQuotas(total)
	d.zones = planZones(d.entries, d.targets)
	scores := make([]uint64, len(d.entries))
	for t := range d.targets {
		d.assignWhole(t)
	}
	for t := range d.targets {
		d.assignFractions(t, scores)
	}
	for t := range d.targets {
		d.assignLeftovers(t)
	}
}

// countParts sets each target's parts and returns their sum.
func (d *division) countParts() int {
	slots := 0
	for _, t := range d.targets {
		slots += t.Slots
	}
	total := 0
	for i := range d.targets {
		t := &d.targets[i]
		t.parts = t.Slots
		if n := len(d.entries); slots < n {
			t.parts = (t.Slots*n + slots - 1) / slots
		}
		t.left = t.parts
		total += t.parts
	}
	return total
}

// setQuotas divides total between the entries in proportion to their weights.
// Slots left by rounding go to the entries with the largest remainders, and
// among equal ones by hash.
func (d *division) setQuotas(total int) {
	weights := 0
	for _, e := range d.entries {
		weights += int(e.Weight)
	}
	type remainder struct {
		entry int
		part  int
	}
	remainders := make([]remainder, len(d.entries))
	left := total
	for i := range d.entries {
		e := &d.entries[i]
		share := total * int(e.Weight)
		e.quota = share / weights
		remainders[i] = remainder{entry: i, part: share % weights}
		left -= e.quota
	}
	slices.SortFunc(remainders, func(a, b remainder) int {
		if a.part != b.part {
			return cmp.Compare(b.part, a.part)
		}
		return cmp.Compare(d.entries[a.entry].hash, d.entries[b.entry].hash)
	})
	for _, r := range remainders[:left] {
		d.entries[r.entry].quota++
	}
	for i := range d.entries {
		d.entries[i].left = d.entries[i].quota
	}
}

// assignWhole assigns to each entry the whole slots of its entitlement to a
// target.
func (d *division) assignWhole(t int) {
	for e := range d.entries {
		if n := int(d.entitlement(t, e) / slotUnit); n > 0 {
			d.assign(t, e, n)
		}
	}
}

// assignFractions assigns the remaining slots of a target, at most one each, to
// entries that are entitled to a fraction of a slot. It selects them by a
// rendezvous hash weighted with the fraction.
func (d *division) assignFractions(t int, scores []uint64) {
	if d.targets[t].left == 0 {
		return
	}
	for e := range d.entries {
		weight := uint64(d.entitlement(t, e) % slotUnit)
		scores[e] = (d.pairHash(t, e) >> 32) * weight
	}
	for d.targets[t].left > 0 {
		best := -1
		for e := range d.entries {
			if d.entries[e].left == 0 || scores[e] == 0 {
				continue
			}
			if best < 0 || scores[e] > scores[best] {
				best = e
			}
		}
		if best < 0 {
			return
		}
		scores[best] = 0
		d.assign(t, best, 1)
	}
}

// assignLeftovers assigns the slots of a target that are still left to entries
// below their quota. Entries in the target's zone come first, then those with
// the fewest slots of the target.
func (d *division) assignLeftovers(t int) {
	for d.targets[t].left > 0 {
		best := -1
		for e := range d.entries {
			if d.entries[e].left > 0 && (best < 0 || d.betterLeftover(t, e, best)) {
				best = e
			}
		}
		if best < 0 {
			return
		}
		d.assign(t, best, 1)
	}
}

func (d *division) betterLeftover(t, a, b int) bool {
	zone := d.targets[t].zone
	if near := d.entries[a].zone == zone; near != (d.entries[b].zone == zone) {
		return near
	}
	if ga, gb := d.assigned[t*len(d.entries)+a], d.assigned[t*len(d.entries)+b]; ga != gb {
		return ga < gb
	}
	return d.pairHash(t, a) > d.pairHash(t, b)
}

func (d *division) assign(t, e, n int) {
	n = min(n, d.targets[t].left)
	d.assigned[t*len(d.entries)+e] += int32(n)
	d.entries[e].left -= n
	d.targets[t].left -= n
}

// pairHash returns the rendezvous hash of a target and an entry.
func (d *division) pairHash(t, e int) uint64 {
	return mix(d.targets[t].hash ^ mix(d.entries[e].hash))
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (d *division) sharesOf(e int) []Share {
	var out []Share
	for t := range d.targets {
		n := int(d.assigned[t*len(d.entries)+e])
		if n == 0 {
			continue
		}
		target := &d.targets[t]
		out = append(out, Share{
			Address:     target.Address,
			Slots:       n,
			Connections: connectionsOf(target, n),
		})
	}
	slices.SortFunc(out, func(a, b Share) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// connectionsOf returns the part of a target's connections that belongs to a
// number of its slots, at least 1. It returns 0 if connections are not limited.
func connectionsOf(t *divisionTarget, slots int) int {
	if t.Connections <= 0 {
		return 0
	}
	return max(1, t.Connections*slots/t.parts)
}
