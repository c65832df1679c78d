package eviction

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Costs are the weights of the cost of evicting a task. The unit of a cost is
// one minute of work of a low-priority batch task.
type Costs struct {
	// Restart is the fixed cost of an eviction: stopping the task, queueing,
	// placing and loading it.
	Restart float64
	// LongRunningFactor multiplies the cost of long-running tasks such as
	// route watchers, which are useful only while they run.
	LongRunningFactor float64
	// PriorityFactor multiplies the cost once for each priority above low.
	PriorityFactor float64
	// RepeatFactor multiplies the cost once for each earlier eviction, so that
	// the same task is not evicted repeatedly.
	RepeatFactor float64
}

// DefaultCosts returns the weights that the policy benchmarks use.
func DefaultCosts() Costs {
	return Costs{Restart: 1, LongRunningFactor: 20, PriorityFactor: 2, RepeatFactor: 2}
}

// maxRepeats limits how often Costs.RepeatFactor is applied.
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

// checkpointFailureShare is the share of unsaved progress that counts as lost
// although the task writes a checkpoint when it stops.
const checkpointFailureShare = 0.1

// ThrottleCost returns what throttling a task by one percent costs: the
// processors that it holds and cannot use, times its class weight.
func (c Costs) ThrottleCost(t *Task) float64 {
	cores := float64(t.Size.MilliCPU) / 1000
	return c.classWeight(t) * max(minThrottleCores, cores)
}

// minThrottleCores is the smallest number of processors used in ThrottleCost,
// so that throttling a tiny task does not look free.
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
