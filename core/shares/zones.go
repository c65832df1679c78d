package shares

import (
	"math/bits"
	"slices"

	"github.com/guavarill/guavarill/core/model"
)

// slotUnit is one whole slot in the fixed-point numbers that entitlement returns.
const slotUnit = 1 << 12

// crossZoneParts out of crossZoneWhole parts of each entry's total are assigned
// regardless of zones. An entry with slots only in its own zone would have none
// left if the instances of that zone failed and the entry did not.
const (
	crossZoneParts = 1
	crossZoneWhole = 8
)

// zonePlan holds how many slots of the instances in each zone go to the entries
// in each zone.
type zonePlan struct {
	zones    int
	capacity []int // slots of the instances in each zone
	need     []int // sum of the quotas of the entries in each zone
	flow     []int // [instances' zone * zones + entries' zone], in 1/slotUnit
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

// plan assigns as many slots as allowed within each zone, and distributes the
// rest in proportion to the surplus and the deficit of each zone.
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

// mulDiv returns a*b/c for non-negative numbers. The product may exceed the range
// of an int.
func mulDiv(a, b, c int) int {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	quotient, _ := bits.Div64(hi, lo, uint64(c))
	return int(quotient)
}

// entitlement returns the share of target t's slots that the zone plan gives to
// entry e, in 1/slotUnit of a slot.
func (d *division) entitlement(t, e int) int {
	target, entry, p := &d.targets[t], &d.entries[e], d.zones
	flow := p.flow[target.zone*p.zones+entry.zone]
	if flow == 0 {
		return 0
	}
	ofTarget := flow * target.parts / p.capacity[target.zone]
	return ofTarget * entry.quota / p.need[entry.zone]
}
