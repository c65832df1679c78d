package shares

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/core/model"
)

func makeEntries(n, zones int) []Entry {
	var entries []Entry
	for i := range n {
		entries = append(entries, Entry{
			ID:   model.DaemonID(fmt.Sprintf("entry-%d", i)),
			Zone: model.Zone(fmt.Sprint("z", i%zones)),
		})
	}
	return entries
}

func makeTargets(n, slots, zones int) []Capacity {
	var targets []Capacity
	for i := range n {
		targets = append(targets, Capacity{
			Address:     fmt.Sprintf("10.0.0.%d:80", i),
			Zone:        model.Zone(fmt.Sprint("z", i%zones)),
			Slots:       slots,
			Connections: 60,
		})
	}
	return targets
}

// divideAll returns the shares of each entry, and their sums by address.
func divideAll(entries []Entry, targets []Capacity) (map[model.DaemonID]map[string]Share, map[string]Share) {
	parts := make(map[model.DaemonID]map[string]Share)
	sums := make(map[string]Share)
	for _, e := range entries {
		parts[e.ID] = make(map[string]Share)
		for _, s := range Divide(entries, e.ID, targets) {
			parts[e.ID][s.Address] = s
			sum := sums[s.Address]
			sum.Slots += s.Slots
			sum.Connections += s.Connections
			sums[s.Address] = sum
		}
	}
	return parts, sums
}

func totalSlots(part map[string]Share) int {
	n := 0
	for _, s := range part {
		n += s.Slots
	}
	return n
}

func parameters(runs int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20261202)
	p.MinSuccessfulTests = runs
	return p
}

func TestDivisionAddsUpExactly(t *testing.T) {
	properties := gopter.NewProperties(parameters(150))
	properties.Property("equal views use each slot once and give each entry its weight", prop.ForAll(
		func(n, count, zones int, seed uint64) string {
			rnd := rand.New(rand.NewPCG(seed, 2))
			entries, targets := makeEntries(n, zones), makeTargets(count, 0, zones)
			slots, weights := 0, 0
			for i := range targets {
				targets[i].Slots = 1 + rnd.IntN(20)
				slots += targets[i].Slots
			}
			for i := range entries {
				entries[i].Weight = 1 + uint32(rnd.IntN(4))
				weights += int(entries[i].Weight)
			}
			if slots < n {
				return ""
			}
			parts, sums := divideAll(entries, targets)
			for _, target := range targets {
				if sum := sums[target.Address]; sum.Slots != target.Slots || sum.Connections > max(60, n) {
					return fmt.Sprintf("%s: %+v of %d slots", target.Address, sum, target.Slots)
				}
			}
			for _, e := range entries {
				due := float64(slots) * float64(e.Weight) / float64(weights)
				if got := float64(totalSlots(parts[e.ID])); got < due-1 || got > due+1 {
					return fmt.Sprintf("%s has %v of %.1f", e.ID, got, due)
				}
			}
			return ""
		},
		gen.IntRange(1, 20), gen.IntRange(1, 60), gen.IntRange(1, 4), gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against some entries refusing every request of a small service. If the
// service has fewer slots than there are entries and each slot is assigned
// once, an entry without a slot cannot serve it.
func TestEveryEntryHasASlot(t *testing.T) {
	entries, targets := makeEntries(300, 8), makeTargets(10, 8, 8)
	parts, sums := divideAll(entries, targets)
	for _, e := range entries {
		if totalSlots(parts[e.ID]) == 0 {
			t.Fatalf("%s has no slot", e.ID)
		}
	}
	for address, sum := range sums {
		if bound := (8*300 + 79) / 80; sum.Slots > bound {
			t.Errorf("%s is divided into %d slots, more than the stated %d", address, sum.Slots, bound)
		}
	}
}

func TestOrderOfInputDoesNotMatter(t *testing.T) {
	entries, targets := makeEntries(7, 3), makeTargets(50, 8, 3)
	want := Divide(entries, "entry-3", targets)
	slices.Reverse(entries)
	slices.Reverse(targets)
	if got := Divide(append(entries, entries[0]), "entry-3", targets); !slices.Equal(got, want) {
		t.Errorf("shares differ: %v, %v", got, want)
	}
}

// Guards against all entries refusing requests for the grow delay after one
// entry was lost. A share is reduced at once and raised late, so a division
// that moves most slots leaves them unused for that time.
func TestLossOfAnEntryMovesFewSlots(t *testing.T) {
	entries, targets := makeEntries(7, 3), makeTargets(50, 8, 3)
	before, _ := divideAll(entries, targets)
	for dead := range entries {
		living := slices.Delete(slices.Clone(entries), dead, dead+1)
		after, _ := divideAll(living, targets)
		lost := 0
		for _, e := range living {
			for address, s := range before[e.ID] {
				lost += max(s.Slots-after[e.ID][address].Slots, 0)
			}
		}
		if lost > 400/10 {
			t.Errorf("without %s the others lose %d of 400 slots", entries[dead].ID, lost)
		}
	}
}

func TestSlotsInTheSameZoneComeFirst(t *testing.T) {
	entries, targets := makeEntries(7, 3), makeTargets(50, 8, 3)
	parts, _ := divideAll(entries, targets)
	near := 0
	for _, e := range entries {
		for _, target := range targets {
			if target.Zone == e.Zone {
				near += parts[e.ID][target.Address].Slots
			}
		}
	}
	if near < 400*3/4 {
		t.Errorf("%d of 400 slots are in the same zone", near)
	}
}

func TestDivideUnzonedIgnoresZones(t *testing.T) {
	targets := makeTargets(50, 8, 3)
	ids := []model.DaemonID{"a", "b", "c"}
	sum := 0
	for _, id := range ids {
		for _, s := range DivideUnzoned(ids, id, targets) {
			sum += s.Slots
		}
	}
	if sum != 400 {
		t.Errorf("%d of 400 slots are assigned", sum)
	}
	if got := DivideUnzoned(ids, "stranger", targets); got != nil {
		t.Errorf("an entry outside the view has %v", got)
	}
}

func BenchmarkDivide(b *testing.B) {
	for _, size := range []struct{ entries, targets int }{{7, 50}, {300, 90}, {300, 2000}} {
		b.Run(fmt.Sprintf("%dx%d", size.entries, size.targets), func(b *testing.B) {
			entries, targets := makeEntries(size.entries, 8), makeTargets(size.targets, 8, 8)
			b.ReportAllocs()
			for b.Loop() {
				Divide(entries, "entry-3", targets)
			}
		})
	}
}
