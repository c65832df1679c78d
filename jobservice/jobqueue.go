package jobservice

import (
	"fmt"

	"github.com/guavarill/guavarill/core/job"
)

// The records of jobs are kept by id alone, and workers know a task by its job's id without
// a queue. So jobs of two queues cannot share an id while the records of one are kept: the
// second is not accepted, and a job is known at its own queue only.

// IDTakenError reports a job that was not accepted because its id is that of a job of
// another queue.
type IDTakenError struct{ ID job.ID }

// Error implements error.
func (e *IDTakenError) Error() string {
	return fmt.Sprintf("id %s is that of a job of another queue; choose another one", e.ID)
}

// isOf reports whether a job with the given fingerprint may be one of queue q. It is if q is
// nil.
func isOf(f job.QueueFingerprint, q *job.Queue) bool { return q == nil || f.Matches(q) }

// checkID returns an *IDTakenError unless the job that has the id may be one of queue q.
func checkID(id job.ID, f job.QueueFingerprint, q *job.Queue) error {
	if isOf(f, q) {
		return nil
	}
	return &IDTakenError{ID: id}
}
