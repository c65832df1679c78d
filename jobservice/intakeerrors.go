package jobservice

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// UnavailableError reports that a request was not carried out, and will not be,
// because the store is unreachable or no current configuration is known.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("not done: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UncertainError reports that a request may or may not have been carried out, or that
// its answer is unknown.
type UncertainError struct{ Cause error }

// Error implements error.
func (e *UncertainError) Error() string { return fmt.Sprintf("not known: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// UnknownJobError reports that no such job exists.
type UnknownJobError struct{ ID job.ID }

// Error implements error.
func (e *UnknownJobError) Error() string { return fmt.Sprintf("job %s does not exist", e.ID) }

// StaleSummaryError reports that the leader has stored no summary for too long.
type StaleSummaryError struct{ Age time.Duration }

// Error implements error.
func (e *StaleSummaryError) Error() string { return fmt.Sprintf("the counts are %s old", e.Age) }

// LateSubmissionError reports a submission that was not stored because the daemon has had
// it for too long.
type LateSubmissionError struct{ Age time.Duration }

// Error implements error.
func (e *LateSubmissionError) Error() string {
	return fmt.Sprintf("the submission arrived %s ago", e.Age.Round(time.Millisecond))
}
