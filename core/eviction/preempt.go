package eviction

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Candidate is a worker on which tasks may be preempted.
type Candidate struct {
	Worker model.WorkerID
	// Free is the uncommitted resources.
	Free model.Resources
	// Batch holds the batch tasks on the worker.
	Batch []Task
}

// Preemption is a set of tasks on one worker whose eviction makes enough room.
type Preemption struct {
	Worker  model.WorkerID
	Victims []model.TaskKey
	Cost    float64
}

// Preempt returns the cheapest preemption found that makes room for a task of
// the given size and priority on one of the candidates. Only batch tasks of
// lower priority are chosen. The resources of tasks that are already stopping
// count as free. Preempt returns false if no candidate can make enough room.
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

// preemptOn chooses victims on one worker. It takes tasks in the order of the
// missing resources that they cover for their cost until there is enough room,
// then drops the tasks that are not needed, the most expensive first. A single
// task that makes enough room is chosen instead if it is cheaper.
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

// findVictims returns the missing resources and the tasks that may be evicted
// for them.
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

// coverage returns the fractions of the missing resources that size covers,
// summed over the dimensions in which resources are missing.
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
