package placement

import "github.com/guavarill/guavarill/core/model"

// shapes counts workers by capacity. Even a large fleet has few distinct
// capacities.
type shapes struct {
	list []shape
}

type shape struct {
	capacity model.Resources
	count    int
}

func (s *shapes) add(capacity model.Resources, n int) {
	for i := range s.list {
		if s.list[i].capacity == capacity {
			s.list[i].count += n
			if s.list[i].count == 0 {
				s.list = append(s.list[:i], s.list[i+1:]...)
			}
			return
		}
	}
	s.list = append(s.list, shape{capacity, n})
}

// capacities returns the distinct capacities.
func (s *shapes) capacities() []model.Resources {
	out := make([]model.Resources, len(s.list))
	for i := range s.list {
		out[i] = s.list[i].capacity
	}
	return out
}

// NeverFits returns a *NeverFitsError if size fits in none of the capacities,
// and nil if it fits in one or there are none. A size may fit in none although
// each of its dimensions fits in some capacity. The reported dimension is the
// one that is exceeded most in the capacity that comes closest.
func NeverFits(key model.TaskKey, size model.Resources, capacities []model.Resources) *NeverFitsError {
	best := -1
	bestRatio := 0.0
	for i, capacity := range capacities {
		if size.Fits(capacity) {
			return nil
		}
		ratio := excessRatio(size, capacity)
		if best < 0 || ratio < bestRatio || (ratio == bestRatio && larger(capacity, capacities[best])) {
			best, bestRatio = i, ratio
		}
	}
	if best < 0 {
		return nil
	}
	return &NeverFitsError{
		Key:       key,
		Size:      size,
		Dimension: worstDimension(size, capacities[best]),
		Largest:   capacities[best],
	}
}

func larger(a, b model.Resources) bool {
	if a.MilliCPU != b.MilliCPU {
		return a.MilliCPU > b.MilliCPU
	}
	if a.MemoryMB != b.MemoryMB {
		return a.MemoryMB > b.MemoryMB
	}
	return a.Accelerators > b.Accelerators
}

// zeroCapacityRatio is used as the ratio of a size to a capacity of zero.
const zeroCapacityRatio = 1e9

func dimensionRatio(size, capacity int64) float64 {
	if size <= capacity {
		return 0
	}
	if capacity <= 0 {
		return zeroCapacityRatio
	}
	return float64(size) / float64(capacity)
}

func excessRatio(size, capacity model.Resources) float64 {
	return max(
		dimensionRatio(size.MilliCPU, capacity.MilliCPU),
		dimensionRatio(size.MemoryMB, capacity.MemoryMB),
		dimensionRatio(size.Accelerators, capacity.Accelerators),
	)
}

func worstDimension(size, capacity model.Resources) model.Dimension {
	cpu := dimensionRatio(size.MilliCPU, capacity.MilliCPU)
	memory := dimensionRatio(size.MemoryMB, capacity.MemoryMB)
	accelerators := dimensionRatio(size.Accelerators, capacity.Accelerators)
	switch {
	case accelerators > 0 && accelerators >= cpu && accelerators >= memory:
		return model.DimensionAccelerators
	case memory > 0 && memory > cpu:
		return model.DimensionMemory
	}
	return model.DimensionCPU
}
