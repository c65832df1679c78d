package quarantine

import "fmt"

// Error implements error.
func (e *GaveUpError) Error() string {
	return fmt.Sprintf("task %s: %s: %d failures, on %d workers above suspicion",
		e.Task, e.Reason, e.Failures, e.Workers)
}
