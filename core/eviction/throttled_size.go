package eviction

import "github.com/guavarill/guavarill/core/model"

// ThrottledSize returns the resources to commit for a task of the given full
// size that is throttled to a percentage: the processors that it may still use,
// rounded up to a thousandth of a core, and all of its memory and accelerators.
// Processors that a throttled task holds but cannot use would keep other tasks
// pending. The smaller size is committed only after the worker has confirmed
// the throttle, and the larger size before the throttle is raised, so that
// the committed sum is never below what tasks may use.
func ThrottledSize(full model.Resources, percent uint32) model.Resources {
	held := full
	held.MilliCPU = (full.MilliCPU*int64(min(percent, FullSpeed)) + FullSpeed - 1) / FullSpeed
	return held
}

// growthTo returns the additional resources that a task needs to run at a
// higher percentage.
func (t *Task) growthTo(percent uint32) model.Resources {
	if t.FullSize == (model.Resources{}) {
		return model.Resources{}
	}
	return ThrottledSize(t.FullSize, percent).Sub(t.Size)
}
