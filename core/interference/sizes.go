package interference

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// SizeOptions configures Sizes.
type SizeOptions struct {
	// MinRatio and MaxRatio limit the size to commit, as multiples of the declared
	// size.
	MinRatio, MaxRatio float64
	// Margin is added to the observed usage, as a share of it.
	Margin float64
	// CPUStdFactor and MemoryStdFactor are the numbers of standard deviations above
	// the mean peak that are committed. Memory has a factor of its own because too
	// little memory kills a task, while too little processor time only slows it.
	CPUStdFactor, MemoryStdFactor float64
	// PriorWeight is the weight of the declared size, in tasks.
	PriorWeight float64
	// ReclaimPerHour is the largest decrease in an hour of the size to commit, as a
	// share of the declared size.
	ReclaimPerHour float64
	// MinTasks is the number of tasks that must have been observed before less
	// than the declared size is committed.
	MinTasks float64
}

// DefaultSizeOptions returns the options with which the eviction policy is measured.
func DefaultSizeOptions() SizeOptions {
	return SizeOptions{
		MinRatio:        0.3,
		MaxRatio:        4,
		Margin:          0.10,
		CPUStdFactor:    0,
		MemoryStdFactor: 2,
		PriorWeight:     2,
		ReclaimPerHour:  0.25,
		MinTasks:        5,
	}
}

// Usage is the measured usage of a task.
type Usage struct {
	MilliCPU, MemoryMB int64
}

// Sizes learns, per workload, how much capacity its tasks actually need.
type Sizes struct {
	options   SizeOptions
	workloads map[string]*workloadSizes
}

// workloadSizes is the record of one workload. peaks holds the peaks of its running
// tasks.
type workloadSizes struct {
	cpu, memory ratio
	peaks       map[model.TaskKey]peak
}

// peak is the largest usage of a task, as multiples of its declared size.
type peak struct {
	cpu, memory float64
}

// ratio records the peaks of a workload's tasks in one dimension as multiples of the
// declared size: their moments over tasks, and the ratio in force, which is the one to
// commit.
type ratio struct {
	moments
	inForce   float64
	inForceAt time.Time
}

// NewSizes returns a learner without observations, which returns the declared sizes.
func NewSizes(o SizeOptions) *Sizes {
	return &Sizes{options: o, workloads: make(map[string]*workloadSizes)}
}

// Observe records the measured usage of a task. Only a new peak of the task changes
// the record, so delayed, repeated and reordered reports do no harm.
func (s *Sizes) Observe(now time.Time, key model.TaskKey, declared model.Resources, u Usage) {
	if declared.MilliCPU <= 0 || declared.MemoryMB <= 0 || u.MilliCPU < 0 || u.MemoryMB < 0 {
		return
	}
	w := s.workload(key.Workload)
	old, seen := w.peaks[key]
	next := peak{
		cpu:    math.Max(old.cpu, float64(u.MilliCPU)/float64(declared.MilliCPU)),
		memory: math.Max(old.memory, float64(u.MemoryMB)/float64(declared.MemoryMB)),
	}
	w.peaks[key] = next
	w.cpu.replace(seen, old.cpu, next.cpu)
	w.memory.replace(seen, old.memory, next.memory)
	w.cpu.adjust(now, s.desiredRatio(&w.cpu, s.options.CPUStdFactor), s.options.ReclaimPerHour)
	w.memory.adjust(now, s.desiredRatio(&w.memory, s.options.MemoryStdFactor), s.options.ReclaimPerHour)
}

// TaskEnded drops the record of a task that has ended. Its peaks remain part of the
// moments of its workload, where they lose weight as later tasks are observed.
func (s *Sizes) TaskEnded(key model.TaskKey) {
	if w, ok := s.workloads[key.Workload]; ok {
		delete(w.peaks, key)
	}
}

// Forget drops the record of a workload that is retired.
func (s *Sizes) Forget(workload string) { delete(s.workloads, workload) }

// CommitSize returns the size to commit for a task that is to be placed, given the
// workload and the declared size. It returns the declared size for a workload that was
// never observed.
// Accelerators are committed as declared.
func (s *Sizes) CommitSize(workload string, declared model.Resources) model.Resources {
	w, ok := s.workloads[workload]
	if !ok {
		return declared
	}
	size := declared
	size.MilliCPU = scale(declared.MilliCPU, w.cpu.inForce)
	size.MemoryMB = scale(declared.MemoryMB, w.memory.inForce)
	return size
}

// RunningSize returns the size that should be committed for a running task: the
// currently committed size, or more if the task has used more. It never returns less,
// because a task that keeps running may need its capacity again before other tasks
// release it.
func (s *Sizes) RunningSize(key model.TaskKey, declared, committed model.Resources) model.Resources {
	w, ok := s.workloads[key.Workload]
	if !ok {
		return committed
	}
	seen, ok := w.peaks[key]
	if !ok {
		return committed
	}
	want := committed
	want.MilliCPU = max(committed.MilliCPU, s.sizeForPeak(declared.MilliCPU, committed.MilliCPU, seen.cpu))
	want.MemoryMB = max(committed.MemoryMB, s.sizeForPeak(declared.MemoryMB, committed.MemoryMB, seen.memory))
	return want
}

// SplitGrowth splits the growth of a task's size from committed to want into the size
// that the worker's free capacity allows and the shortage. granted does not exceed
// committed plus free: a worker is not committed beyond its capacity because a task is
// larger than declared. Package eviction resolves shortages. Accelerators do not grow.
func SplitGrowth(committed, want, free model.Resources) (granted, shortage model.Resources) {
	more := want.Sub(committed)
	given := model.Resources{
		MilliCPU:     clampGrowth(more.MilliCPU, free.MilliCPU),
		MemoryMB:     clampGrowth(more.MemoryMB, free.MemoryMB),
		Accelerators: 0,
	}
	granted = committed.Add(given)
	shortage = model.Resources{
		MilliCPU: max(0, want.MilliCPU-granted.MilliCPU),
		MemoryMB: max(0, want.MemoryMB-granted.MemoryMB),
	}
	return granted, shortage
}

func clampGrowth(more, free int64) int64 { return max(0, min(more, free)) }

func (s *Sizes) workload(name string) *workloadSizes {
	w, ok := s.workloads[name]
	if !ok {
		w = &workloadSizes{
			cpu:    ratio{inForce: 1},
			memory: ratio{inForce: 1},
			peaks:  make(map[model.TaskKey]peak),
		}
		s.workloads[name] = w
	}
	return w
}

// sizeForPeak returns the size for a peak with its margin, or committed if the peak does
// not exceed it.
func (s *Sizes) sizeForPeak(declared, committed int64, seen float64) int64 {
	if scale(declared, seen) <= committed {
		return committed
	}
	return scale(declared, math.Min(s.options.MaxRatio, seen*(1+s.options.Margin)))
}

// desiredRatio returns the ratio to commit according to the moments: the mean plus
// stdFactor standard deviations and the margin, within the limits of the options.
func (s *Sizes) desiredRatio(r *ratio, stdFactor float64) float64 {
	o := &s.options
	weight := r.weight + o.PriorWeight
	mean := (r.mean*r.weight + o.PriorWeight) / weight
	deviation := 0.0
	if r.weight > 0 {
		deviation = math.Sqrt(math.Max(0, r.squares/r.weight))
	}
	want := (mean + stdFactor*deviation) * (1 + o.Margin)
	if r.weight < o.MinTasks {
		want = math.Max(1, want)
	}
	return math.Min(o.MaxRatio, math.Max(o.MinRatio, want))
}

// replace replaces a task's old peak with the next one, or adds its first peak.
func (r *ratio) replace(seen bool, old, next float64) {
	if seen && old == next {
		return
	}
	if seen && r.weight >= 1 {
		r.remove(old)
	}
	r.add(next)
}

// adjust raises the ratio in force to the desired one immediately and lowers it by at
// most reclaimPerHour. Lowering it immediately would give away in a workload's quiet
// hour the capacity that it needs in its busy hour.
func (r *ratio) adjust(now time.Time, desired, reclaimPerHour float64) {
	if desired >= r.inForce {
		r.inForce, r.inForceAt = desired, now
		return
	}
	if r.inForceAt.IsZero() {
		r.inForceAt = now
	}
	passed := now.Sub(r.inForceAt)
	if passed <= 0 {
		return
	}
	r.inForce = math.Max(desired, r.inForce-reclaimPerHour*passed.Hours())
	r.inForceAt = now
}

func scale(amount int64, ratio float64) int64 {
	return int64(math.Ceil(float64(amount) * ratio))
}
