package interference

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// SizeOptions sets the size learner.
type SizeOptions struct {
	// MinRatio and MaxRatio bound a hold as a multiple of the declared size.
	MinRatio, MaxRatio float64
	// Margin is added to what was seen, as a ratio.
	Margin float64
	// CPUStdFactor is how many standard deviations above the mean peak are held.
	// Memory gets MemoryStdFactor: too little memory kills a task, too little
	// processor only slows it.
	CPUStdFactor, MemoryStdFactor float64
	// PriorWeight is how many tasks' worth of evidence the declaration counts.
	PriorWeight float64
	// ReclaimPerHour is the largest fall of a hold in an hour, as a ratio.
	ReclaimPerHour float64
	// MinTasks is how many tasks must have been seen before less than the
	// declared size is held.
	MinTasks float64
}

// DefaultSizeOptions returns the settings that the policy measurements use.
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

// Usage is what one task was seen to use.
type Usage struct {
	MilliCPU, MemoryMB int64
}

// Sizes learns, per workload, how much room its tasks really need.
type Sizes struct {
	options   SizeOptions
	workloads map[string]*workloadSizes
}

type workloadSizes struct {
	cpu, memory ratio
	peaks       map[model.TaskKey]peak
}

type peak struct {
	cpu, memory float64
}

// ratio follows the peaks of a workload's tasks as multiples of the declared
// size: their moments over tasks, and the hold in force.
type ratio struct {
	moments
	inForce   float64
	inForceAt time.Time
}

// NewSizes returns a learner that holds what is declared.
func NewSizes(o SizeOptions) *Sizes {
	return &Sizes{options: o, workloads: make(map[string]*workloadSizes)}
}

// Observe records what a task of a workload was seen to use. Only a new peak
// of the task changes anything, so late, repeated and reordered reports are
// harmless.
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

// TaskEnded drops the record of a task that is over. What its workload learned
// from it stays, and fades as later tasks are seen.
func (s *Sizes) TaskEnded(key model.TaskKey) {
	if w, ok := s.workloads[key.Workload]; ok {
		delete(w.peaks, key)
	}
}

// Forget drops a workload that is retired.
func (s *Sizes) Forget(workload string) { delete(s.workloads, workload) }

// CommitSize returns what to commit for a task of a workload that is to be placed.
// Accelerators are always as declared.
func (s *Sizes) CommitSize(workload string, declared model.Resources) model.Resources {
	w, ok := s.workloads[workload]
	if !ok {
		return declared
	}
	hold := declared
	hold.MilliCPU = scale(declared.MilliCPU, w.cpu.inForce)
	hold.MemoryMB = scale(declared.MemoryMB, w.memory.inForce)
	return hold
}

// RunningSize returns what a running task should have committed: its present hold,
// or more when it was seen to use more. It never shrinks a hold, since a task
// that goes on may need its room again before others give it back.
func (s *Sizes) RunningSize(key model.TaskKey, declared, held model.Resources) model.Resources {
	w, ok := s.workloads[key.Workload]
	if !ok {
		return held
	}
	seen, ok := w.peaks[key]
	if !ok {
		return held
	}
	want := held
	want.MilliCPU = max(held.MilliCPU, s.sizeForPeak(declared.MilliCPU, held.MilliCPU, seen.cpu))
	want.MemoryMB = max(held.MemoryMB, s.sizeForPeak(declared.MemoryMB, held.MemoryMB, seen.memory))
	return want
}

// SplitGrowth splits a wish for more room into what the worker's free room allows and
// what is missing. held plus free is never exceeded: a worker is not committed
// beyond its capacity because a task turned out larger than declared. A
// shortage is for package eviction to settle.
func SplitGrowth(held, want, free model.Resources) (granted, shortage model.Resources) {
	more := want.Sub(held)
	given := model.Resources{
		MilliCPU:     clampGrowth(more.MilliCPU, free.MilliCPU),
		MemoryMB:     clampGrowth(more.MemoryMB, free.MemoryMB),
		Accelerators: 0,
	}
	granted = held.Add(given)
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

// sizeForPeak returns the room for a peak with its margin, when the peak lies above
// what is held.
func (s *Sizes) sizeForPeak(declared, held int64, seen float64) int64 {
	if scale(declared, seen) <= held {
		return held
	}
	return scale(declared, math.Min(s.options.MaxRatio, seen*(1+s.options.Margin)))
}

func (s *Sizes) desiredRatio(r *ratio, spread float64) float64 {
	o := &s.options
	weight := r.weight + o.PriorWeight
	mean := (r.mean*r.weight + o.PriorWeight) / weight
	deviation := 0.0
	if r.weight > 0 {
		deviation = math.Sqrt(math.Max(0, r.squares/r.weight))
	}
	want := (mean + spread*deviation) * (1 + o.Margin)
	if r.weight < o.MinTasks {
		want = math.Max(1, want)
	}
	return math.Min(o.MaxRatio, math.Max(o.MinRatio, want))
}

// replace exchanges a task's old peak for its new one, or adds the first.
func (r *ratio) replace(seen bool, old, next float64) {
	if seen && old == next {
		return
	}
	if seen && r.weight >= 1 {
		r.remove(old)
	}
	r.add(next)
}

// adjust raises the hold at once and lowers it slowly. Lowering at once would
// let one quiet hour of a workload give away the room its busy hour needs.
func (r *ratio) adjust(now time.Time, wanted, reclaimPerHour float64) {
	if wanted >= r.inForce {
		r.inForce, r.inForceAt = wanted, now
		return
	}
	if r.inForceAt.IsZero() {
		r.inForceAt = now
	}
	passed := now.Sub(r.inForceAt)
	if passed <= 0 {
		return
	}
	r.inForce = math.Max(wanted, r.inForce-reclaimPerHour*passed.Hours())
	r.inForceAt = now
}

func scale(amount int64, ratio float64) int64 {
	return int64(math.Ceil(float64(amount) * ratio))
}
