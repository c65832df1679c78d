package shares

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/guavarill/guavarill/core/model"
)

// deal is one computation of Divide. All arithmetic is on integers, so that
// entries on different processors agree.
type deal struct {
	entries []dealEntry // by ID
	targets []dealTarget
	zones   *zonePlan
	// given is a matrix, one row a target.
	given []int32
}

type dealEntry struct {
	Entry
	hash  uint64
	zone  int
	quota int
	left  int
}

type dealTarget struct {
	Capacity
	hash uint64
	zone int
	// parts is into how many slots the instance is divided: Slots, or more
	// when there are fewer slots than entries.
	parts int
	left  int
}

func newDeal(entries []Entry, targets []Capacity) *deal {
	d := &deal{}
	for _, e := range entries {
		e.Weight = max(e.Weight, 1)
		d.entries = append(d.entries, dealEntry{Entry: e, hash: xxhash.Sum64String(string(e.ID))})
	}
	slices.SortFunc(d.entries, func(a, b dealEntry) int { return cmp.Compare(a.ID, b.ID) })
	d.entries = slices.CompactFunc(d.entries, func(a, b dealEntry) bool { return a.ID == b.ID })
	for _, t := range targets {
		if t.Connections > 0 {
			t.Slots = min(t.Slots, t.Connections)
		}
		if t.Slots <= 0 {
			continue
		}
		d.targets = append(d.targets, dealTarget{Capacity: t, hash: xxhash.Sum64String(t.Address)})
	}
	slices.SortFunc(d.targets, compareTargets)
	d.targets = slices.CompactFunc(d.targets, func(a, b dealTarget) bool { return a.Address == b.Address })
	return d
}

// compareTargets orders by hash, so that the order in which instances are
// dealt says nothing of their zone or age.
func compareTargets(a, b dealTarget) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.Address, b.Address)
}

func (d *deal) indexOf(id model.DaemonID) (int, bool) {
	return slices.BinarySearchFunc(d.entries, id, func(e dealEntry, id model.DaemonID) int {
		return cmp.Compare(e.ID, id)
	})
}

func (d *deal) run() {
	d.given = make([]int32, len(d.entries)*len(d.targets))
	total := d.countParts()
	d.setQuotas(total)
	d.zones = planZones(d.entries, d.targets)
	scores := make([]uint64, len(d.entries))
	for t := range d.targets {
		d.giveWhole(t)
	}
	for t := range d.targets {
		d.giveRests(t, scores)
	}
	for t := range d.targets {
		d.giveLeftovers(t)
	}
}

// countParts sets each target's parts and returns their sum.
func (d *deal) countParts() int {
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

// setQuotas divides total over the entries by weight; the parts that do not
// divide evenly go by hash.
func (d *deal) setQuotas(total int) {
	weights := 0
	for _, e := range d.entries {
		weights += int(e.Weight)
	}
	type rest struct {
		entry int
		part  int
	}
	rests := make([]rest, len(d.entries))
	left := total
	for i := range d.entries {
		e := &d.entries[i]
		share := total * int(e.Weight)
		e.quota = share / weights
		rests[i] = rest{entry: i, part: share % weights}
		left -= e.quota
	}
	slices.SortFunc(rests, func(a, b rest) int {
		if a.part != b.part {
			return cmp.Compare(b.part, a.part)
		}
		return cmp.Compare(d.entries[a.entry].hash, d.entries[b.entry].hash)
	})
	for _, r := range rests[:left] {
		d.entries[r.entry].quota++
	}
	for i := range d.entries {
		d.entries[i].left = d.entries[i].quota
	}
}

// giveWhole gives every entry the whole slots of its due.
func (d *deal) giveWhole(t int) {
	for e := range d.entries {
		if n := int(d.due(t, e) / dueUnit); n > 0 {
			d.give(t, e, n)
		}
	}
}

// giveRests gives the target's remaining slots, at most one each, to entries
// with a fraction of a slot due, by rendezvous hash weighted with it.
func (d *deal) giveRests(t int, scores []uint64) {
	if d.targets[t].left == 0 {
		return
	}
	for e := range d.entries {
		weight := uint64(d.due(t, e) % dueUnit)
		scores[e] = (d.pair(t, e) >> 32) * weight
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
		d.give(t, best, 1)
	}
}

// giveLeftovers gives what no entry had a fraction due of to entries that are
// short of their total, spread over as many as can be.
func (d *deal) giveLeftovers(t int) {
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
		d.give(t, best, 1)
	}
}

func (d *deal) betterLeftover(t, a, b int) bool {
	zone := d.targets[t].zone
	if near := d.entries[a].zone == zone; near != (d.entries[b].zone == zone) {
		return near
	}
	if ga, gb := d.given[t*len(d.entries)+a], d.given[t*len(d.entries)+b]; ga != gb {
		return ga < gb
	}
	return d.pair(t, a) > d.pair(t, b)
}

func (d *deal) give(t, e, n int) {
	n = min(n, d.targets[t].left)
	d.given[t*len(d.entries)+e] += int32(n)
	d.entries[e].left -= n
	d.targets[t].left -= n
}

// pair is the rendezvous hash of a target and an entry.
func (d *deal) pair(t, e int) uint64 {
	return mix(d.targets[t].hash ^ mix(d.entries[e].hash))
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (d *deal) sharesOf(e int) []Share {
	var out []Share
	for t := range d.targets {
		n := int(d.given[t*len(d.entries)+e])
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

// connectionsOf divides connections as slots are; unlimited ones stay so.
func connectionsOf(t *dealTarget, slots int) int {
	if t.Connections <= 0 {
		return 0
	}
	return max(1, t.Connections*slots/t.parts)
}
