package eviction

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Costs weighs the eviction of a task, in minutes of work of a normal batch
// task.
type Costs struct {
	// Restart is what every eviction costs: stop, wait, place, load.
	Restart float64
	// LongRunning multiplies the cost of tasks whose whole use is that they
	// keep running, such as route watchers.
	LongRunning float64
	// PriorityStep multiplies the cost for each priority above low.
	PriorityStep float64
	// Again multiplies the cost for each earlier eviction, so that the same
	// task is not evicted over and over.
	Again float64
}

// DefaultCosts returns the weights that the policy measurements use.
func DefaultCosts() Costs {
	return Costs{Restart: 1, LongRunning: 20, PriorityStep: 2, Again: 2}
}

// maxAgain bounds how often Costs.Again is applied.
const maxAgain = 6

// Evict returns what evicting a task now would cost. A task that can be
// checkpointed when it stops loses only part of its progress on average: the
// checkpoint can fail.
func (c Costs) Evict(now time.Time, t *Task) float64 {
	cost := c.Restart
	lost := now.Sub(t.SavedAt).Minutes()
	if t.Checkpoints {
		lost *= checkpointRisk
	}
	cost += max(0, lost)
	cost *= c.class(t)
	for range min(t.Evictions, maxAgain) {
		cost *= c.Again
	}
	return cost
}

// checkpointRisk is the part of unsaved progress that counts as lost although
// a checkpoint will be tried.
const checkpointRisk = 0.1

// Throttle returns what throttling a task by one percent costs: the
// processors that it holds and cannot use, times its class weight.
func (c Costs) Throttle(t *Task) float64 {
	cores := float64(t.Size.MilliCPU) / 1000
	return c.class(t) * max(smallestTask, cores)
}

// smallestTask keeps tasks that hold next to nothing from looking free.
const smallestTask = 0.1

func (c Costs) class(t *Task) float64 {
	weight := 1.0
	if t.LongRunning {
		weight = c.LongRunning
	}
	for range max(0, t.Priority-model.PriorityLow) {
		weight *= c.PriorityStep
	}
	return weight
}
