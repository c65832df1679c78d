package eviction

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Candidate is a worker on which room for urgent work might be made.
type Candidate struct {
	Worker model.WorkerID
	Free   model.Resources
	Batch  []Task
}

// Preemption is a set of tasks whose eviction makes room on a worker.
type Preemption struct {
	Worker  model.WorkerID
	Victims []model.TaskKey
	Cost    float64
}

// Preempt returns the cheapest way to make room for a task of a size and
// priority on one of the candidates. Only batch tasks of lower priority are
// evicted. Room that stopping tasks will give back counts as free. The second
// result is false when no candidate can be made to hold it.
func Preempt(now time.Time, size model.Resources, priority model.Priority, candidates []Candidate, costs Costs) (Preemption, bool) {
	var best Preemption
	found := false
	for i := range candidates {
		p, ok := preemptOn(now, size, priority, &candidates[i], costs)
		if !ok {
			continue
		}
		if !found || p.cheaper(&best) {
			best, found = p, true
		}
	}
	return best, found
}

func (p *Preemption) cheaper(o *Preemption) bool {
	if p.Cost != o.Cost {
		return p.Cost < o.Cost
	}
	if len(p.Victims) != len(o.Victims) {
		return len(p.Victims) < len(o.Victims)
	}
	return p.Worker < o.Worker
}

type pricedTask struct {
	task *Task
	cost float64
}

// preemptOn takes victims by what they give for their cost until there is
// room, then gives back those that turn out not to be needed, dearest first.
// A single victim that would do alone is taken when it is cheaper.
func preemptOn(now time.Time, size model.Resources, priority model.Priority, c *Candidate, costs Costs) (Preemption, bool) {
	missing, victims := findVictims(now, size, priority, c, costs)
	if nothingMissing(missing) {
		return Preemption{Worker: c.Worker}, true
	}
	chosen := chooseGreedily(missing, victims)
	if chosen == nil {
		return Preemption{}, false
	}
	chosen = dropUnneeded(missing, chosen)
	if single, ok := cheapestSingle(missing, victims); ok && single.cost < totalCost(chosen) {
		chosen = []pricedTask{single}
	}
	p := Preemption{Worker: c.Worker, Cost: totalCost(chosen)}
	for _, v := range chosen {
		p.Victims = append(p.Victims, v.task.Key)
	}
	slices.SortFunc(p.Victims, model.TaskKey.Compare)
	return p, true
}

// findVictims returns the room that is missing and the tasks that may be evicted.
func findVictims(now time.Time, size model.Resources, priority model.Priority, c *Candidate, costs Costs) (model.Resources, []pricedTask) {
	missing := size.Sub(c.Free)
	var victims []pricedTask
	for i := range c.Batch {
		t := &c.Batch[i]
		switch {
		case t.Stopping:
			missing = missing.Sub(t.Size)
		case t.Priority < priority:
			victims = append(victims, pricedTask{t, costs.EvictionCost(now, t)})
		}
	}
	return missing, victims
}

func nothingMissing(missing model.Resources) bool { return missing.Fits(model.Resources{}) }

func chooseGreedily(missing model.Resources, victims []pricedTask) []pricedTask {
	left := slices.Clone(victims)
	var chosen []pricedTask
	for !nothingMissing(missing) {
		best := -1
		bestMerit := 0.0
		for i := range left {
			merit := coverage(left[i].task.Size, missing) / left[i].cost
			if merit > bestMerit || (best >= 0 && merit == bestMerit && taskLess(left[i].task, left[best].task)) {
				best, bestMerit = i, merit
			}
		}
		if best < 0 {
			return nil
		}
		chosen = append(chosen, left[best])
		missing = missing.Sub(left[best].task.Size)
		left = slices.Delete(left, best, best+1)
	}
	return chosen
}

// coverage returns the sum over the missing dimensions of the part that size
// covers.
func coverage(size, missing model.Resources) float64 {
	return covered(size.MilliCPU, missing.MilliCPU) +
		covered(size.MemoryMB, missing.MemoryMB) +
		covered(size.Accelerators, missing.Accelerators)
}

func covered(size, missing int64) float64 {
	if missing <= 0 {
		return 0
	}
	return min(1, float64(size)/float64(missing))
}

func dropUnneeded(missing model.Resources, chosen []pricedTask) []pricedTask {
	slices.SortStableFunc(chosen, func(a, b pricedTask) int {
		if a.cost != b.cost {
			if a.cost > b.cost {
				return -1
			}
			return 1
		}
		return a.task.Key.Compare(b.task.Key)
	})
	given := model.Resources{}
	for _, v := range chosen {
		given = given.Add(v.task.Size)
	}
	return slices.DeleteFunc(chosen, func(v pricedTask) bool {
		without := given.Sub(v.task.Size)
		if !missing.Fits(without) {
			return false
		}
		given = without
		return true
	})
}

func cheapestSingle(missing model.Resources, victims []pricedTask) (pricedTask, bool) {
	best, found := pricedTask{}, false
	for _, v := range victims {
		if !missing.Fits(v.task.Size) {
			continue
		}
		if !found || v.cost < best.cost || (v.cost == best.cost && taskLess(v.task, best.task)) {
			best, found = v, true
		}
	}
	return best, found
}

func totalCost(chosen []pricedTask) float64 {
	sum := 0.0
	for _, v := range chosen {
		sum += v.cost
	}
	return sum
}
