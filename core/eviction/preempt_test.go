package eviction

import (
	"math/rand/v2"
	"testing"

	"github.com/guavarill/guavarill/core/model"
)

func randomCandidate(rnd *rand.Rand, n int) Candidate {
	c := Candidate{Worker: "w", Free: model.Resources{MilliCPU: rnd.Int64N(2000), MemoryMB: rnd.Int64N(2000)}}
	for i := range n {
		t := task("job", uint32(i))
		t.Size = model.Resources{MilliCPU: 200 + rnd.Int64N(3000), MemoryMB: 200 + rnd.Int64N(3000)}
		t.SavedAt = at(-rnd.IntN(1200))
		t.Priority = model.Priority(rnd.IntN(4))
		c.Batch = append(c.Batch, t)
	}
	return c
}

// cheapestPreemption returns the lowest cost over all sets of victims that make
// enough room, found by an exhaustive search.
func cheapestPreemption(size model.Resources, c Candidate) (float64, bool) {
	best, found := 0.0, false
	for set := range 1 << len(c.Batch) {
		free, cost, allowed := c.Free, 0.0, true
		for i := range c.Batch {
			if set&(1<<i) == 0 {
				continue
			}
			allowed = allowed && c.Batch[i].Priority < model.PriorityUrgent
			free = free.Add(c.Batch[i].Size)
			price := DefaultCosts()
			cost += price.EvictionCost(at(0), &c.Batch[i])
		}
		if allowed && size.Fits(free) && (!found || cost < best) {
			best, found = cost, true
		}
	}
	return best, found
}

// Guards against urgent tasks staying pending although room can be made, and
// against preempting more than necessary. The result is compared with an
// exhaustive search.
func TestPreemptMakesRoomCheaply(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	chosen, optimal, possible := 0.0, 0.0, 0
	for range 500 {
		c := randomCandidate(rnd, 8)
		size := model.Resources{MilliCPU: 1000 + rnd.Int64N(6000), MemoryMB: 1000 + rnd.Int64N(6000)}
		p, ok := Preempt(at(0), size, model.PriorityUrgent, []Candidate{c}, DefaultCosts())
		want, can := cheapestPreemption(size, c)
		if ok != can {
			t.Fatalf("possible %v, found %v", can, ok)
		}
		if !ok {
			continue
		}
		possible++
		chosen += p.Cost
		optimal += want
		free := c.Free
		for _, victim := range p.Victims {
			for i := range c.Batch {
				if c.Batch[i].Key != victim {
					continue
				}
				free = free.Add(c.Batch[i].Size)
				if c.Batch[i].Priority >= model.PriorityUrgent {
					t.Fatal("evicted a task of the same priority")
				}
			}
		}
		if !size.Fits(free) {
			t.Fatal("the victims do not make room")
		}
	}
	if possible < 100 || chosen > 1.05*optimal {
		t.Errorf("over %d cases the cost is %.2f of the cheapest", possible, chosen/optimal)
	}
}

func TestPreemptPrefersFreeRoom(t *testing.T) {
	full, half := randomCandidate(rand.New(rand.NewPCG(1, 1)), 4), Candidate{Worker: "half", Batch: []Task{task("job", 1)}}
	half.Batch[0].Stopping = true
	p, ok := Preempt(at(0), half.Batch[0].Size, model.PriorityUrgent, []Candidate{full, half}, DefaultCosts())
	if !ok || p.Worker != "half" || len(p.Victims) != 0 {
		t.Errorf("got %v %v", p, ok)
	}
}
