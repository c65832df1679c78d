package job

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// InvalidError reports an invalid field of a declaration or a stored record.
// Reason completes a sentence that begins with Field.
type InvalidError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("%s %s", e.Field, e.Reason) }

// Spec is the declaration of a job.
type Spec struct {
	// Payload is passed to every task unchanged.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Schedule is nil for a job that runs once, immediately.
	Schedule *Schedule `json:"schedule,omitempty"`
}

// Schedule declares the repetitions of a job.
type Schedule struct {
	// StartMs is when the first repetition is due, as Unix time in milliseconds.
	StartMs int64 `json:"startMs"`
	// IntervalMs is the time between the due times of consecutive repetitions,
	// in milliseconds.
	IntervalMs int64 `json:"intervalMs,omitempty"`
	// Repetitions is the number of repetitions, at least 1.
	Repetitions int `json:"repetitions"`
}

// Due returns when repetition k is due, counted from 0. A time before 1970 or after the
// year 9999 counts as the nearest time in between.
func (s *Schedule) Due(k int) time.Time {
	due := float64(s.StartMs) + float64(k)*float64(s.IntervalMs)
	switch {
	case due < 0:
		return time.UnixMilli(0)
	case due > maxTimeMs:
		return time.UnixMilli(maxTimeMs)
	}
	return time.UnixMilli(s.StartMs + int64(k)*s.IntervalMs)
}

// Step declares a number of identical tasks.
type Step struct {
	// Count is the number of tasks, at least 1.
	Count int `json:"count"`
	// Size is the part of its worker's capacity that each task needs.
	Size model.Resources `json:"size"`
	// EstimateMs is the caller's rough estimate of a task's run time, in
	// milliseconds.
	EstimateMs int64 `json:"estimateMs,omitempty"`
	// After lists the numbers of the earlier steps whose tasks must all be done
	// before a task of this step starts.
	After []int `json:"after,omitempty"`
	// Checkpointing is whether a task resumes from its last checkpoint after it
	// was stopped.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang is whether the tasks make progress only while all of them run. They
	// are started together, under one attempt number.
	Gang bool `json:"gang,omitempty"`
	// SameRack is whether the tasks are slow unless all of them run on one rack.
	SameRack bool `json:"sameRack,omitempty"`
	// Label is a label that the worker must have; empty for none.
	Label string `json:"label,omitempty"`
	// DataRack is the rack closest to the step's data; empty for none.
	DataRack model.Rack `json:"dataRack,omitempty"`
	// MaxPerWorker limits the number of the step's tasks on one worker; 0 for no
	// limit.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// Speculative is whether a second attempt of a task may run beside the first.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning is whether the tasks run until the job is canceled.
	LongRunning bool `json:"longRunning,omitempty"`
	// Image names the program of the tasks. Tasks of the same image are assumed
	// to interfere with other tasks in the same way.
	Image string `json:"image,omitempty"`
	// LatencyTargetMs limits the tail latency of long-running tasks that serve
	// requests, in milliseconds; 0 for none.
	LatencyTargetMs int64 `json:"latencyTargetMs,omitempty"`
	// BestEffort is whether the tasks use only processor time that other tasks
	// leave idle. No processor capacity is committed to them.
	BestEffort bool `json:"bestEffort,omitempty"`
	// MaxUnavailable limits how many of the tasks guavarill may make unavailable
	// at the same time; 0 for no limit.
	MaxUnavailable int `json:"maxUnavailable,omitempty"`
}

// Committed returns the part of a worker's capacity that is committed to one
// task.
func (s *Step) Committed() model.Resources {
	size := s.Size
	if s.BestEffort {
		size.MilliCPU = 0
	}
	return size
}

// Repetitions returns how often the steps run, 1 for a job without a schedule.
func (s *Spec) Repetitions() int {
	if s.Schedule == nil {
		return 1
	}
	return s.Schedule.Repetitions
}

// UntilCanceled reports whether the job runs until it is canceled, because a step has
// long-running tasks.
func (s *Spec) UntilCanceled() bool {
	return slices.ContainsFunc(s.Steps, func(step Step) bool { return step.LongRunning })
}

// Check returns an *InvalidError for the first field of the declaration whose value has no
// meaning. A declaration that it accepts may exceed what guavarill carries out, see
// CheckLimits.
func (s *Spec) Check() error {
	if len(s.Payload) > MaxPayloadBytes {
		return &InvalidError{Field: "payload", Reason: fmt.Sprintf("must have at most %d bytes", MaxPayloadBytes)}
	}
	if len(s.Steps) == 0 {
		return &InvalidError{Field: "steps", Reason: fmt.Sprintf("must be 1 to %d", MaxSteps)}
	}
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
	}
	if s.Schedule != nil && (s.Schedule.Repetitions < 1 || s.Schedule.IntervalMs < 0) {
		return &InvalidError{Field: "schedule", Reason: "must repeat at least once and forwards in time"}
	}
	return nil
}

// check returns an *InvalidError if the step, which has number i, is not valid.
// A step may only depend on steps with lower numbers, which rules out cycles.
func (s *Step) check(i int) error {
	switch size := s.Size; {
	case s.Count < 1:
		return &InvalidError{Field: stepField(i, "count"), Reason: "must be at least 1"}
	case size.MilliCPU < 0 || size.MemoryMB < 0 || size.Accelerators < 0:
		return &InvalidError{Field: stepField(i, "size"), Reason: "must not be negative"}
	case s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return &InvalidError{Field: fmt.Sprintf("steps[%d]", i), Reason: "must not have negative bounds"}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= i {
			return &InvalidError{Field: stepField(i, "after"), Reason: "must name earlier steps"}
		}
	}
	return nil
}

// stepField returns the name of a field of step i in errors.
func stepField(i int, name string) string { return fmt.Sprintf("steps[%d].%s", i, name) }

// CriticalPathMs returns the length of the critical path in milliseconds: the
// largest sum of the estimates of steps that depend on one another.
func (s *Spec) CriticalPathMs() int64 {
	return s.PathMs(func(int) bool { return true })
}

// PathMs is the same as CriticalPathMs if only the steps whose number is included take
// any time.
func (s *Spec) PathMs(includes func(step int) bool) int64 {
	ends := make([]int64, len(s.Steps))
	longest := int64(0)
	for i := range s.Steps {
		for _, earlier := range s.Steps[i].After {
			ends[i] = max(ends[i], ends[earlier])
		}
		if includes(i) {
			ends[i] += s.Steps[i].EstimateMs
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskWork returns the estimated work of one task, in thousandths of a core times
// milliseconds. It is never 0, also without an estimate.
func (s *Step) TaskWork() float64 {
	return float64(max(s.EstimateMs, 1)) * float64(max(s.Size.MilliCPU, 1))
}

// Work returns the number of tasks of one repetition, at most math.MaxInt32, and their
// estimated work in thousandths of a core times milliseconds.
func (s *Spec) Work() (tasks int, work float64) {
	for i := range s.Steps {
		step := &s.Steps[i]
		tasks = min(tasks+min(step.Count, math.MaxInt32), math.MaxInt32)
		work += float64(step.Count) * step.TaskWork()
	}
	return tasks, work
}
