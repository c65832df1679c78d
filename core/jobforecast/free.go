package jobforecast

const (
	// freeUnit is the step in which free processors are told apart, in thousandths of a
	// core.
	freeUnit = 100
	// maxFreeCounts bounds the size of a FreeCounts. Workers with more free processors
	// than its last element stands for are counted there.
	maxFreeCounts = 128
)

// FreeCounts counts workers by their free processors: element i those with i to i+1
// times freeUnit.
type FreeCounts []int

// Add counts a worker with the given free processors, in thousandths of a core.
func (f *FreeCounts) Add(milliCPU int64) {
	i := int(min(max(milliCPU, 0)/freeUnit, maxFreeCounts-1))
	for len(*f) <= i {
		*f = append(*f, 0)
	}
	(*f)[i]++
}

// fits reports whether so many tasks of a size, in thousandths of a core, fit on the
// workers that are counted. It returns true if none are.
func (f FreeCounts) fits(tasks int, milliCPU int64) bool {
	if len(f) == 0 || milliCPU <= 0 {
		return true
	}
	if len(f) == maxFreeCounts && f[maxFreeCounts-1] > 0 {
		return true
	}
	fit := int64(0)
	for i, workers := range f {
		fit += int64(workers) * (int64(i) * freeUnit / milliCPU)
	}
	return fit >= int64(tasks)
}
