package model

import (
	"math"
	"testing"
)

func TestTimes(t *testing.T) {
	tests := []struct {
		need, room Resources
		want       int
	}{
		{Resources{MilliCPU: 500, MemoryMB: 100}, Resources{MilliCPU: 2100, MemoryMB: 1000}, 4},
		{Resources{MilliCPU: 500, MemoryMB: 400}, Resources{MilliCPU: 2100, MemoryMB: 1000}, 2},
		{Resources{MilliCPU: 500, Accelerators: 1}, Resources{MilliCPU: 2100}, 0},
		{Resources{MilliCPU: 500}, Resources{MilliCPU: -700}, 0},
		{Resources{}, Resources{}, math.MaxInt},
	}
	for _, test := range tests {
		if got := test.need.FitCount(test.room); got != test.want {
			t.Errorf("%v fits %d times in %v, want %d", test.need, got, test.room, test.want)
		}
	}
}
