package quarantine

import "fmt"

// Error implements error.
func (e *GaveUpError) Error() string {
	return fmt.Sprintf("task %s: %s: %d failures, on %d workers that are not suspect",
		e.Task, e.Reason, e.Failures, e.Workers)
}
