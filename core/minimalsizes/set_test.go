package minimalsizes

import (
	"testing"

	"github.com/guavarill/guavarill/core/model"
)

func size(milliCPU, memoryMB int64) model.Resources {
	return model.Resources{MilliCPU: milliCPU, MemoryMB: memoryMB}
}

// TestSetHoldsTheSmallest guards against a set that grows with each size, and against one
// that takes a size for larger that is so in one resource only.
func TestSetHoldsTheSmallest(t *testing.T) {
	s := Set[string]{}
	for _, added := range []model.Resources{size(200, 200), size(100, 300), size(100, 100), size(100, 100), size(50, 400)} {
		s.Add("a", added)
	}
	if n := len(s["a"]); n != 2 {
		t.Errorf("%d sizes are held, want 2: %v", n, s["a"])
	}
	for asked, want := range map[model.Resources]bool{
		size(100, 100): true, size(100, 99): false, size(99, 100): false, size(60, 400): true, size(60, 399): false, {}: false,
	} {
		if got := s.AnyFitsIn("a", asked); got != want {
			t.Errorf("a size fits in %v: %t, want %t", asked, got, want)
		}
	}
	if s.AnyFitsIn("b", size(1000, 1000)) {
		t.Error("a size of one kind counts for another")
	}
}
