package interference

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/core/model"
)

var declared = model.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}

// observeTasks reports n ended tasks that used the given share of the declared size.
func observeTasks(s *Sizes, now time.Time, n uint32, ratio float64) {
	for i := range n {
		usage := Usage{MilliCPU: int64(1000 * ratio), MemoryMB: int64(1000 * ratio)}
		s.Observe(now, key("job", i), declared, usage)
		s.TaskEnded(key("job", i))
	}
}

// The size to commit must grow as soon as larger tasks are observed. Otherwise every
// attempt is placed with the declared size and runs out of memory.
func TestCommitSizeGrowsAtOnce(t *testing.T) {
	s := NewSizes(DefaultSizeOptions())
	if got := s.CommitSize("job", declared); got != declared {
		t.Fatalf("before any observation: %v", got)
	}
	observeTasks(s, at(0), 20, 3)
	if got := s.CommitSize("job", declared); got.MemoryMB < 3000 || got.MilliCPU < 2700 || got.Accelerators != 1 {
		t.Errorf("after tasks three times the size: %v", got)
	}
}

// The size to commit must shrink slowly, and not after few tasks. Otherwise one quiet
// hour gives away the capacity that the busy hour needs.
func TestCommitSizeShrinksSlowlyAndNotOnFewTasks(t *testing.T) {
	s := NewSizes(DefaultSizeOptions())
	observeTasks(s, at(0), 3, 0.4)
	if got := s.CommitSize("job", declared); got != declared {
		t.Errorf("after three small tasks: %v", got)
	}
	observeTasks(s, at(0), 50, 0.4)
	if got := s.CommitSize("job", declared).MilliCPU; got < 990 {
		t.Errorf("immediately: %d", got)
	}
	observeTasks(s, at(3600), 50, 0.4)
	if got := s.CommitSize("job", declared).MilliCPU; got < 740 || got > 760 {
		t.Errorf("after an hour: %d, want three quarters", got)
	}
	observeTasks(s, at(24*3600), 50, 0.1)
	if got := s.CommitSize("job", declared).MilliCPU; got < 300 || got > 500 {
		t.Errorf("after a day: %d, want the learned size, not below the bound", got)
	}
}

// The size of a running task must not shrink, because the task may use the capacity
// again.
func TestRunningTaskNeverShrinks(t *testing.T) {
	s := NewSizes(DefaultSizeOptions())
	k := key("job", 1)
	s.Observe(at(0), k, declared, Usage{MilliCPU: 2000, MemoryMB: 100})
	want := s.RunningSize(k, declared, declared)
	if want.MilliCPU < 2000 || want.MemoryMB != declared.MemoryMB {
		t.Errorf("want %v", want)
	}
	s.Observe(at(10), k, declared, Usage{MilliCPU: 10, MemoryMB: 10})
	if got := s.RunningSize(k, declared, want); got != want {
		t.Errorf("after a quiet report: %v, want %v", got, want)
	}
}

// A task that needs more than its declared size must not cause its worker to be
// committed beyond its capacity.
func TestSplitGrowthNeverOvercommits(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20261202)
	params.MinSuccessfulTests = 500
	properties := gopter.NewProperties(params)
	amount := gen.Int64Range(0, 5000)
	properties.Property("granted fits committed plus free, and the shortage covers the rest", prop.ForAll(
		func(heldCPU, heldMemory, wantCPU, wantMemory, freeCPU, freeMemory int64) bool {
			held := model.Resources{MilliCPU: heldCPU, MemoryMB: heldMemory, Accelerators: 1}
			want := model.Resources{MilliCPU: wantCPU, MemoryMB: wantMemory, Accelerators: 1}
			free := model.Resources{MilliCPU: freeCPU, MemoryMB: freeMemory}
			granted, missing := SplitGrowth(held, want, free)
			return granted.Sub(held).Fits(free) && held.Fits(granted) && want.Fits(granted.Add(missing))
		}, amount, amount, amount, amount, amount, amount))
	properties.TestingRun(t)
}

func TestRunTimesLearnTheRatio(t *testing.T) {
	r := NewRunTimes()
	if median, long := r.Expect("job", time.Minute); median != time.Minute || long < 90*time.Second {
		t.Errorf("before any observation: %v, %v", median, long)
	}
	for range 100 {
		r.Observe("job", time.Minute, 3*time.Minute)
	}
	if median, long := r.Expect("job", time.Minute); median < 170*time.Second || median > 181*time.Second || long < median {
		t.Errorf("after tasks three times as long: %v, %v", median, long)
	}
}
