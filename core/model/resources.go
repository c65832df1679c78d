package model

import (
	"fmt"
	"math"
)

// Resources is an amount of capacity in the three dimensions that the scheduler
// commits: thousandths of a processor, mebibytes of memory, and whole
// accelerators.
type Resources struct {
	MilliCPU     int64 `json:"milliCPU"`
	MemoryMB     int64 `json:"memoryMB"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Dimension is the name of one dimension of Resources.
type Dimension string

// The dimensions of Resources.
const (
	DimensionCPU          Dimension = "cpu"
	DimensionMemory       Dimension = "memory"
	DimensionAccelerators Dimension = "accelerators"
)

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o. The result may be negative in a dimension.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Max returns the maximum of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		MilliCPU:     max(r.MilliCPU, o.MilliCPU),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// Fits reports whether r is at most room in every dimension.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU &&
		r.MemoryMB <= room.MemoryMB &&
		r.Accelerators <= room.Accelerators
}

// FitCount returns how many times r fits within room, or math.MaxInt if r is zero
// in every dimension. Negative room counts as zero.
func (r Resources) FitCount(room Resources) int {
	times := math.MaxInt
	for _, d := range [][2]int64{
		{r.MilliCPU, room.MilliCPU}, {r.MemoryMB, room.MemoryMB}, {r.Accelerators, room.Accelerators},
	} {
		if need, have := d[0], d[1]; need > 0 {
			times = min(times, int(max(have, 0)/need))
		}
	}
	return times
}

// Exceeds returns the first dimension in which r is larger than room, in the
// order processor, memory, accelerators. The second result is false if there is
// none.
func (r Resources) Exceeds(room Resources) (Dimension, bool) {
	switch {
	case r.MilliCPU > room.MilliCPU:
		return DimensionCPU, true
	case r.MemoryMB > room.MemoryMB:
		return DimensionMemory, true
	case r.Accelerators > room.Accelerators:
		return DimensionAccelerators, true
	}
	return "", false
}

// String returns r in the form used in logs and time lines, for example
// 500m/1024MB/0.
func (r Resources) String() string {
	return fmt.Sprintf("%dm/%dMB/%d", r.MilliCPU, r.MemoryMB, r.Accelerators)
}
