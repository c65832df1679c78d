package jobapi

import (
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/jobservice"
)

// Problem is the body of an answer that is an error.
type Problem struct {
	Kind   ProblemKind `json:"kind"`
	Detail string      `json:"detail"`
}

// ProblemKind says what is wrong, and what is certain.
type ProblemKind string

// The kinds of problems.
const (
	// ProblemInvalid: the request cannot be carried out as it is.
	ProblemInvalid ProblemKind = "invalid"
	// ProblemTooLarge: its body is over the limit.
	ProblemTooLarge     ProblemKind = "too large"
	ProblemUnknownJob   ProblemKind = "unknown job"
	ProblemUnknownQueue ProblemKind = "unknown queue"
	// ProblemNotDone: it was not carried out and will not be.
	ProblemNotDone ProblemKind = "not done"
	// ProblemUnservable: it was not taken in, because no worker that is there could
	// ever run it.
	ProblemUnservable ProblemKind = "unservable"
	// ProblemUncertain: it may have been carried out, or its answer is not known.
	ProblemUncertain ProblemKind = "uncertain"
	// ProblemNotLeading: another daemon knows.
	ProblemNotLeading ProblemKind = "not leading"
	// ProblemNotServed: there is no such call.
	ProblemNotServed ProblemKind = "not served"
)

// JobState is what a caller is told of a job.
type JobState struct {
	ID    job.ID    `json:"id"`
	State job.State `json:"state"`
}

// QueueStatus is what a caller is told of a queue.
type QueueStatus struct {
	Queue string `json:"queue"`
	// Waiting counts the jobs of which no task has started.
	Waiting int `json:"waiting"`
}

// Status is what a daemon says of itself.
type Status struct {
	Daemon string `json:"daemon"`
	Zone   string `json:"zone"`
	// Leads is whether it schedules for all.
	Leads bool `json:"leads"`
	Ready bool `json:"ready"`
	// ConfigVersion is the configuration in force, 0 before the first.
	ConfigVersion uint64 `json:"configVersion"`
	// StoreSilence is how long ago the store answered last.
	StoreSilence time.Duration `json:"storeSilenceNs"`
	// Peers counts the other daemons that it knows.
	Peers int `json:"peers"`
}

// TooLargeError is a body over the limit.
type TooLargeError struct{}

// Error implements error.
func (*TooLargeError) Error() string { return "the body is too large" }

const (
	// retryAfterS is when to come back after a refusal, in seconds: outages of the
	// store last seconds, and other daemons may serve at once.
	retryAfterS = "1"
	// fleetRetryAfterS is the same for a job that no worker could run: larger
	// workers do not come within seconds.
	fleetRetryAfterS = "60"
)

// RetryAfterSeconds returns when to come back after an error that means "not done", in
// seconds.
func RetryAfterSeconds(err error) string {
	var unservable *job.InfeasibleError
	if errors.As(err, &unservable) {
		return fleetRetryAfterS
	}
	return retryAfterS
}

// ProblemOf returns the status and the kind for an error of a caller's request.
func ProblemOf(err error) (int, ProblemKind) {
	var invalid *job.InvalidError
	var large *TooLargeError
	var queue *jobservice.UnknownQueueError
	var unknown *jobservice.UnknownJobError
	var unavailable *jobservice.UnavailableError
	var unservable *job.InfeasibleError
	var stale *jobservice.StaleSummaryError
	var follower *jobservice.NotLeadingError
	var routing *echo.HTTPError
	switch {
	case errors.As(err, &invalid):
		return http.StatusBadRequest, ProblemInvalid
	case errors.As(err, &large):
		return http.StatusRequestEntityTooLarge, ProblemTooLarge
	case errors.As(err, &queue):
		return http.StatusNotFound, ProblemUnknownQueue
	case errors.As(err, &unknown):
		return http.StatusNotFound, ProblemUnknownJob
	case errors.As(err, &follower):
		return http.StatusConflict, ProblemNotLeading
	case errors.As(err, &unservable):
		return http.StatusServiceUnavailable, ProblemUnservable
	case errors.As(err, &unavailable), errors.As(err, &stale):
		return http.StatusServiceUnavailable, ProblemNotDone
	case errors.As(err, &routing):
		return routing.Code, ProblemNotServed
	}
	return http.StatusGatewayTimeout, ProblemUncertain
}
