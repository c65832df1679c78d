package job

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// The limits of a declaration. They bound what one job can make a daemon hold
// in memory; the largest jobs of the users have 5 steps of 36 tasks.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 256
	MaxTasks        = 20000
	// maxMilliCPU and maxMemoryMB are beyond any worker that is sold.
	maxMilliCPU = 1024 * 1000
	maxMemoryMB = 64 * 1024 * 1024
)

// InvalidError says which part of a declaration cannot be.
type InvalidError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("%s %s", e.Field, e.Reason) }

// Spec declares a job.
type Spec struct {
	// Payload is handed to every task as it is.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Schedule is nil for a job that runs once, at once.
	Schedule *Schedule `json:"schedule,omitempty"`
}

// Schedule declares the repetitions of a job.
type Schedule struct {
	// StartMs is when the first is due, in milliseconds since 1970.
	StartMs int64 `json:"startMs"`
	// IntervalMs is the time between two, in milliseconds.
	IntervalMs int64 `json:"intervalMs,omitempty"`
	// Repetitions is how many there are.
	Repetitions int `json:"repetitions"`
}

// Due returns when repetition k is due.
func (s *Schedule) Due(k int) time.Time {
	return time.UnixMilli(s.StartMs + int64(k)*s.IntervalMs)
}

// Step declares a number of equal tasks.
type Step struct {
	Count int `json:"count"`
	// Size is what each task is committed on its worker.
	Size model.Resources `json:"size"`
	// EstimateMs is the caller's rough estimate of a task's run time.
	EstimateMs int64 `json:"estimateMs,omitempty"`
	// After lists the steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpointing tasks resume where they were stopped.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang tasks work only while all of them run, under one attempt number.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slow unless they run on one rack.
	SameRack bool `json:"sameRack,omitempty"`
	// Label is one that the worker must have; empty for none.
	Label string `json:"label,omitempty"`
	// DataRack is the rack near the step's data; empty for none.
	DataRack model.Rack `json:"dataRack,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 for no bound.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// Speculative tasks may run twice at a time.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is canceled.
	LongRunning bool `json:"longRunning,omitempty"`
	// Image names the program of the tasks; equal images behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTargetMs bounds the tail latency of long-running tasks that serve
	// users of their own; 0 for none.
	LatencyTargetMs int64 `json:"latencyTargetMs,omitempty"`
	// BestEffort tasks use the processor time that others leave; their share
	// of the processor is not committed.
	BestEffort bool `json:"bestEffort,omitempty"`
	// MaxUnavailable bounds how many of the tasks guavarill may make
	// unavailable at a time; 0 for no bound.
	MaxUnavailable int `json:"maxUnavailable,omitempty"`
}

// Committed returns what one task takes of a worker's capacity.
func (s *Step) Committed() model.Resources {
	size := s.Size
	if s.BestEffort {
		size.MilliCPU = 0
	}
	return size
}

// Check returns an *InvalidError for the first part that cannot be.
func (s *Spec) Check() error {
	if len(s.Payload) > MaxPayloadBytes {
		return &InvalidError{Field: "payload", Reason: fmt.Sprintf("must have at most %d bytes", MaxPayloadBytes)}
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return &InvalidError{Field: "steps", Reason: fmt.Sprintf("must be 1 to %d", MaxSteps)}
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > MaxTasks {
		return &InvalidError{Field: "steps", Reason: fmt.Sprintf("must have at most %d tasks together", MaxTasks)}
	}
	if s.Schedule != nil && (s.Schedule.Repetitions < 1 || s.Schedule.IntervalMs < 0) {
		return &InvalidError{Field: "schedule", Reason: "must repeat at least once and forwards in time"}
	}
	return nil
}

// check checks step number i. A step follows earlier steps only, so that no
// cycle can be declared.
func (s *Step) check(i int) error {
	field := fmt.Sprintf("steps[%d]", i)
	switch size := s.Size; {
	case s.Count < 1:
		return &InvalidError{Field: field + ".count", Reason: "must be at least 1"}
	case size.MilliCPU < 0 || size.MemoryMB < 0 || size.Accelerators < 0:
		return &InvalidError{Field: field + ".size", Reason: "must not be negative"}
	case size.MilliCPU > maxMilliCPU || size.MemoryMB > maxMemoryMB:
		return &InvalidError{Field: field + ".size", Reason: "is larger than any worker"}
	case s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return &InvalidError{Field: field, Reason: "must not have negative bounds"}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= i {
			return &InvalidError{Field: field + ".after", Reason: "must name earlier steps"}
		}
	}
	return nil
}

// CriticalPathMs returns the longest chain of steps that follow one another, by their
// estimates, in milliseconds.
func (s *Spec) CriticalPathMs() int64 {
	ends := make([]int64, len(s.Steps))
	longest := int64(0)
	for i := range s.Steps {
		begin := int64(0)
		for _, earlier := range s.Steps[i].After {
			begin = max(begin, ends[earlier])
		}
		ends[i] = begin + s.Steps[i].EstimateMs
		longest = max(longest, ends[i])
	}
	return longest
}
