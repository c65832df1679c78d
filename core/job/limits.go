package job

import "fmt"

// The limits of a declaration. They bound the memory that one job can take in a
// daemon. The users' largest jobs have 5 steps of 36 tasks.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 256
	MaxTasks        = 20000
	// maxMilliCPU, maxMemoryMB and maxAccelerators exceed the capacity of any available
	// VM type.
	maxMilliCPU     = 1024 * 1000
	maxMemoryMB     = 64 * 1024 * 1024
	maxAccelerators = 1024
)

// LimitError reports a valid declaration that guavarill does not carry out because it
// exceeds a limit. Reason completes a sentence that begins with Field.
type LimitError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *LimitError) Error() string { return fmt.Sprintf("%s %s", e.Field, e.Reason) }

// CheckLimits returns a *LimitError for the first limit that the declaration exceeds. It is
// not a part of Check, because a record that an earlier version accepted without a limit
// must remain readable: its job is known, and can be ended.
func (s *Spec) CheckLimits() error {
	if len(s.Steps) > MaxSteps {
		return &LimitError{Field: "steps", Reason: fmt.Sprintf("must be 1 to %d", MaxSteps)}
	}
	tasks := 0
	for i := range s.Steps {
		step := &s.Steps[i]
		switch size := step.Size; {
		case step.Count > MaxTasks:
			return &LimitError{Field: stepField(i, "count"), Reason: fmt.Sprintf("must be at most %d", MaxTasks)}
		case size.MilliCPU > maxMilliCPU || size.MemoryMB > maxMemoryMB || size.Accelerators > maxAccelerators:
			return &LimitError{Field: stepField(i, "size"), Reason: "is larger than any worker"}
		}
		tasks += step.Count
	}
	if tasks > MaxTasks {
		return &LimitError{Field: "steps", Reason: fmt.Sprintf("must have at most %d tasks together", MaxTasks)}
	}
	return nil
}
