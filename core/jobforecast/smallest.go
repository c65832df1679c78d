package jobforecast

import "github.com/guavarill/guavarill/core/model"

// maxSmallest bounds the sizes in a forecast.
const maxSmallest = 6

// AddSmallest adds the size of a task that finds no room, unless one that is not larger
// is there already, and drops those that it is not larger than.
func AddSmallest(sizes []model.Resources, size model.Resources) []model.Resources {
	if isCovered(sizes, size) {
		return sizes
	}
	kept := sizes[:0]
	for _, s := range sizes {
		if !isWithin(size, s) {
			kept = append(kept, s)
		}
	}
	if len(kept) == maxSmallest {
		return kept
	}
	return append(kept, size)
}

// isCovered reports whether a task of the given size has no room, because one that is
// not larger has none.
func isCovered(sizes []model.Resources, size model.Resources) bool {
	for _, s := range sizes {
		if isWithin(s, size) {
			return true
		}
	}
	return false
}

// isWithin reports whether a is not larger than b in any dimension.
func isWithin(a, b model.Resources) bool {
	return a.MilliCPU <= b.MilliCPU && a.MemoryMB <= b.MemoryMB && a.Accelerators <= b.Accelerators
}
