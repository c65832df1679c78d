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
	// LongRunningFactor multiplies the cost of tasks whose whole use is that they
	// keep running, such as route watchers.
	LongRunningFactor float64
	// PriorityFactor multiplies the cost for each priority above low.
	PriorityFactor float64
	// RepeatFactor multiplies the cost for each earlier eviction, so that the same
	// task is not evicted over and over.
	RepeatFactor float64
}

// DefaultCosts returns the weights that the policy measurements use.
func DefaultCosts() Costs {
	return Costs{Restart: 1, LongRunningFactor: 20, PriorityFactor: 2, RepeatFactor: 2}
}

// maxRepeats bounds how often Costs.Again is applied.
const maxRepeats = 6

// EvictionCost returns what evicting a task now would cost. A task that can be
// checkpointed when it stops loses only part of its progress on average: the
// checkpoint can fail.
func (c Costs) EvictionCost(now time.Time, t *Task) float64 {
	cost := c.Restart
	lost := now.Sub(t.SavedAt).Minutes()
	if t.CanCheckpoint {
		lost *= checkpointFailureShare
	}
	cost += max(0, lost)
	cost *= c.classWeight(t)
	for range min(t.Evictions, maxRepeats) {
		cost *= c.RepeatFactor
	}
	return cost
}

// checkpointFailureShare is the part of unsaved progress that counts as lost although
// a checkpoint will be tried.
const checkpointFailureShare = 0.1

// ThrottleCost returns what throttling a task by one percent costs: the
// processors that it holds and cannot use, times its class weight.
func (c Costs) ThrottleCost(t *Task) float64 {
	cores := float64(t.Size.MilliCPU) / 1000
	return c.classWeight(t) * max(minThrottleCores, cores)
}

// minThrottleCores keeps tasks that hold next to nothing from looking free.
const minThrottleCores = 0.1

func (c Costs) classWeight(t *Task) float64 {
	weight := 1.0
	if t.LongRunning {
		weight = c.LongRunningFactor
	}
	for range max(0, t.Priority-model.PriorityLow) {
		weight *= c.PriorityFactor
	}
	return weight
}
