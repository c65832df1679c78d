package shares

import (
	"math/bits"
	"slices"

	"github.com/guavarill/guavarill/core/model"
)

// slotUnit is one whole slot in the fixed-point amounts that due returns.
const slotUnit = 1 << 12

// crossZoneParts of crossZoneWhole parts of every entry's total are dealt
// without regard to zones. An entry with slots in its own zone only would
// have none left when that zone's instances fail and the entry does not.
const (
	crossZoneParts = 1
	crossZoneWhole = 8
)

// zonePlan says how many slots flow from the instances of one zone to the
// entries of another.
type zonePlan struct {
	zones    int
	capacity []int // slots, per zone of instances
	need     []int // quotas, per zone of entries
	flow     []int // [from instances' zone * zones + to entries' zone], in 1/dueUnit
}

// planZones numbers the zones and plans the flow between them.
func planZones(entries []divisionEntry, targets []divisionTarget) *zonePlan {
	numbers := numberZones(entries, targets)
	p := &zonePlan{
		zones:    len(numbers),
		capacity: make([]int, len(numbers)),
		need:     make([]int, len(numbers)),
		flow:     make([]int, len(numbers)*len(numbers)),
	}
	for i := range targets {
		targets[i].zone = numbers[targets[i].Zone]
		p.capacity[targets[i].zone] += targets[i].parts
	}
	for i := range entries {
		entries[i].zone = numbers[entries[i].Zone]
		p.need[entries[i].zone] += entries[i].quota
	}
	p.plan()
	return p
}

func numberZones(entries []divisionEntry, targets []divisionTarget) map[model.Zone]int {
	var names []model.Zone
	for _, e := range entries {
		names = append(names, e.Zone)
	}
	for _, t := range targets {
		names = append(names, t.Zone)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	numbers := make(map[model.Zone]int, len(names))
	for i, name := range names {
		numbers[name] = i
	}
	return numbers
}

// plan keeps as much as it may within zones and spreads the rest in
// proportion to what each zone has over and lacks.
func (p *zonePlan) plan() {
	surplus := make([]int, p.zones)
	deficit := make([]int, p.zones)
	rest := 0
	for z := range p.zones {
		near := min(p.need[z], p.capacity[z]) * slotUnit
		if p.zones > 1 {
			near = near / crossZoneWhole * (crossZoneWhole - crossZoneParts)
		}
		p.flow[z*p.zones+z] = near
		surplus[z] = p.capacity[z]*slotUnit - near
		deficit[z] = p.need[z]*slotUnit - near
		rest += deficit[z]
	}
	if rest == 0 {
		return
	}
	for from := range p.zones {
		for to := range p.zones {
			p.flow[from*p.zones+to] += mulDiv(surplus[from], deficit[to], rest)
		}
	}
}

// mulDiv returns a*b/c for numbers that are not negative; the product may
// exceed an int.
func mulDiv(a, b, c int) int {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	quotient, _ := bits.Div64(hi, lo, uint64(c))
	return int(quotient)
}

// entitlement returns how much of target t's slots entry e has a claim to, in
// 1/dueUnit of a slot.
func (d *division) entitlement(t, e int) int {
	target, entry, p := &d.targets[t], &d.entries[e], d.zones
	flow := p.flow[target.zone*p.zones+entry.zone]
	if flow == 0 {
		return 0
	}
	ofTarget := flow * target.parts / p.capacity[target.zone]
	return ofTarget * entry.quota / p.need[entry.zone]
}
