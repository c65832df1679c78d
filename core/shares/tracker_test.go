package shares

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/core/model"
)

var start = time.Unix(1000, 0)

func slotsOf(shares []Share, address string) int {
	for _, s := range shares {
		if s.Address == address {
			return s.Slots
		}
	}
	return 0
}

func TestShareShrinksAtOnceAndGrowsLate(t *testing.T) {
	tracker := NewTracker(3 * time.Second)
	steps := []struct {
		at      time.Duration
		desired int
		want    int
	}{
		{0, 4, 0},
		{2900 * time.Millisecond, 4, 0},
		{3 * time.Second, 4, 4},
		{4 * time.Second, 2, 2},
		{5 * time.Second, 6, 2},
		{6 * time.Second, 4, 2},
		{7 * time.Second, 6, 2},
		{8 * time.Second, 6, 4},
		{10 * time.Second, 6, 6},
		{11 * time.Second, 0, 0},
		{12 * time.Second, 6, 0},
	}
	for _, step := range steps {
		var desired []Share
		if step.desired > 0 {
			desired = []Share{{Address: "a", Slots: step.desired, Connections: 10 * step.desired}}
		}
		got := slotsOf(tracker.Step(start.Add(step.at), desired), "a")
		if got != step.want {
			t.Errorf("at %v: %d slots, want %d", step.at, got, step.want)
		}
	}
}

// simulated is an entry with a view of its own, which may be outdated.
type simulated struct {
	Entry
	view    []Entry
	tracker *Tracker
	alive   bool
	shares  []Share
}

const (
	simGrowDelay = 3 * time.Second
	simTick      = 100 * time.Millisecond
	simConverge  = 1 * time.Second
)

// simulation lets entries join and fail. Each entry receives a change of the view
// at a different time, within simConverge.
type simulation struct {
	rnd      *rand.Rand
	targets  []Capacity
	entries  []*simulated
	updates  map[time.Duration][]func()
	agreedAt time.Duration // the last time at which all live entries held the same view
}

func newSimulation(seed uint64, entries, targets int) *simulation {
	s := &simulation{
		rnd:      rand.New(rand.NewPCG(seed, 3)),
		targets:  makeTargets(targets, 8, 3),
		updates:  make(map[time.Duration][]func()),
		agreedAt: -time.Hour,
	}
	for _, e := range makeEntries(entries, 3) {
		s.entries = append(s.entries, &simulated{Entry: e})
	}
	return s
}

// change lets an entry join or fail.
func (s *simulation) change(now time.Duration) {
	e := s.entries[s.rnd.IntN(len(s.entries))]
	e.alive = !e.alive
	e.shares = nil
	if e.alive {
		e.tracker = NewTracker(simGrowDelay)
		e.view = []Entry{e.Entry}
	}
	for _, other := range s.entries {
		late := simTick * time.Duration(1+s.rnd.IntN(int(simConverge/simTick)))
		if other == e {
			late = simTick
		}
		s.updates[now+late] = append(s.updates[now+late], func() { other.view = s.live() })
	}
}

func (s *simulation) live() []Entry {
	var list []Entry
	for _, e := range s.entries {
		if e.alive {
			list = append(list, e.Entry)
		}
	}
	return list
}

func (s *simulation) tick(now time.Duration) {
	for _, update := range s.updates[now] {
		update()
	}
	agree := true
	for _, e := range s.entries {
		if !e.alive {
			continue
		}
		agree = agree && slices.Equal(e.view, s.live())
		e.shares = e.tracker.Step(start.Add(now), Divide(e.view, e.ID, s.targets))
	}
	if agree {
		s.agreedAt = now
	}
}

func (s *simulation) sums() map[string]int {
	sums := make(map[string]int)
	for _, e := range s.entries {
		for _, share := range e.shares {
			sums[share.Address] += share.Slots
		}
	}
	return sums
}

// Guards against an instance with 8 slots getting more requests than that while
// entries join and fail. If shares follow each entry's view at once, an entry that
// learns of a failure early takes over slots that another entry, which learns of
// a join late, still uses.
func TestSumIsBoundedWhileViewsDiffer(t *testing.T) {
	properties := gopter.NewProperties(parameters(60))
	properties.Property("sum over entries never exceeds the slots, and reaches them", prop.ForAll(
		func(seed uint64) string {
			s := newSimulation(seed, 8, 12)
			covered, checked := 0, 0
			const quiet, end = 20 * time.Second, 26 * time.Second
			for now := time.Duration(0); now < end; now += simTick {
				// Changes come in bursts. Views agree in the pauses between them.
				if now < quiet && now%(2*time.Second) < 500*time.Millisecond && s.rnd.IntN(3) == 0 {
					s.change(now)
				}
				s.tick(now)
				checked++
				if now-s.agreedAt >= simGrowDelay {
					continue
				}
				covered++
				for address, sum := range s.sums() {
					if sum > 8 {
						return fmt.Sprintf("%s has %d slots in use at %v", address, sum, now)
					}
				}
			}
			if covered < checked*9/10 {
				return fmt.Sprintf("only %d of %d steps closely followed an agreement of all views", covered, checked)
			}
			if len(s.live()) == 0 {
				return ""
			}
			for _, target := range s.targets {
				if got := s.sums()[target.Address]; got != 8 {
					return fmt.Sprintf("%s has %d slots in use after all is quiet", target.Address, got)
				}
			}
			return ""
		}, gen.UInt64()))
	properties.TestingRun(t)
}

// Entries that are partitioned from each other use an instance once per side.
func TestSumIsBoundedBySidesOfAPartition(t *testing.T) {
	entries, targets := makeEntries(8, 3), makeTargets(12, 8, 3)
	sums := make(map[string]int)
	for i, e := range entries {
		side := entries[:3]
		if i >= 3 {
			side = entries[3:]
		}
		tracker := NewTracker(simGrowDelay)
		tracker.Step(start, Divide(entries, e.ID, targets))
		tracker.Step(start.Add(simGrowDelay), Divide(side, e.ID, targets))
		for _, s := range tracker.Step(start.Add(2*simGrowDelay), Divide(side, e.ID, targets)) {
			sums[s.Address] += s.Slots
		}
	}
	for address, sum := range sums {
		if sum != 2*8 {
			t.Errorf("%s has %d slots in use on two sides", address, sum)
		}
	}
}

func TestDemandIgnoresNoise(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	var d Demand
	changes, last := 0, uint32(0)
	for i := range 600 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		d.Observe(now, 36+rnd.IntN(11)-5, 0)
		if got := d.Publish(400, 7); got != last {
			changes++
			last = got
		}
	}
	if changes > 1 {
		t.Errorf("published demand changed %d times", changes)
	}
	for i := range 40 {
		d.Observe(start.Add(time.Minute+time.Duration(i)*100*time.Millisecond), 57, 40)
	}
	if got := d.Publish(400, 7); got < 80 {
		t.Errorf("published %d of 97", got)
	}
}

func TestWeightsFollowUntypicalDemand(t *testing.T) {
	entries := makeEntries(4, 1)
	weights := func(demand ...uint32) []uint32 {
		published := make(map[model.DaemonID]uint32)
		for i, d := range demand {
			published[entries[i].ID] = d
		}
		var list []uint32
		for _, e := range WeightByDemand(entries, published, 400) {
			list = append(list, e.Weight)
		}
		return list
	}
	if w := weights(50, 75, 50, 75); w[0] != w[1] {
		t.Errorf("typical differences change weights: %v", w)
	}
	if w := weights(250, 50, 50, 50); w[0] < 2*w[1] || w[1] != w[2] {
		t.Errorf("weights %v for a demand five times the others'", w)
	}
	if w := weights(0, 0, 0, 0); w[0] == 0 || w[0] != w[3] {
		t.Errorf("weights %v without demand", w)
	}
}
