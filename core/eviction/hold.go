package eviction

import "github.com/guavarill/guavarill/core/model"

// ThrottledSize returns what is to be committed for a task of a full size that
// runs throttled to a percentage: the processors that it may still use, and
// all of its memory and accelerators. Processors that a throttled task holds
// and cannot use would keep other tasks waiting. The smaller hold is committed
// only once the worker has confirmed the throttle, and the full one before the
// throttle is lifted, so that the committed sum is never below what may be
// used.
func ThrottledSize(full model.Resources, percent uint32) model.Resources {
	held := full
	held.MilliCPU = (full.MilliCPU*int64(min(percent, FullSpeed)) + FullSpeed - 1) / FullSpeed
	return held
}

// growthTo returns the room that a task needs to be raised to a percentage.
func (t *Task) growthTo(percent uint32) model.Resources {
	if t.FullSize == (model.Resources{}) {
		return model.Resources{}
	}
	return ThrottledSize(t.FullSize, percent).Sub(t.Size)
}
