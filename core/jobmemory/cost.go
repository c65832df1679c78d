package jobmemory

import "github.com/guavarill/guavarill/core/job"

// The most that parts of a job take in a leader's memory, in bytes. Strings come on top.
const (
	jobBytes        = 2048
	occurrenceBytes = 512
	// declaredStepBytes is a step's declaration; stepBytes is what an occurrence has of
	// a step, and taskBytes of a task.
	declaredStepBytes = 384
	stepBytes         = 1024
	taskBytes         = 320
	// dependencyBytes is a step's naming of an earlier one, in either.
	dependencyBytes = 16
)

// Cost is the memory that a job takes, in bytes.
type Cost struct {
	// Declared is what its declaration takes, and Occurrence what each open occurrence
	// does.
	Declared, Occurrence int64
}

// CostOf returns the cost of a job with a valid declaration.
func CostOf(spec *job.Spec) Cost {
	c := Cost{Declared: jobBytes + int64(len(spec.Payload)), Occurrence: occurrenceBytes}
	for i := range spec.Steps {
		s := &spec.Steps[i]
		dependencies := int64(len(s.After)) * dependencyBytes
		c.Declared += declaredStepBytes + dependencies + int64(len(s.Label)+len(s.DataRack)+len(s.Image))
		c.Occurrence += stepBytes + dependencies + int64(s.Count)*taskBytes
	}
	return c
}

// Of returns the cost while some occurrences are open. A job takes that of one at least, so
// that there is memory when the first begins.
func (c Cost) Of(open int) int64 { return c.Declared + int64(max(open, 1))*c.Occurrence }
