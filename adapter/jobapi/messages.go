package jobapi

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/guavarill/guavarill/core/cordon"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/jobservice"
)

// Problem is the body of a response that reports an error.
type Problem struct {
	Kind   ProblemKind `json:"kind"`
	Detail string      `json:"detail"`
}

// ProblemKind is the kind of an error. It says whether the request was carried out.
type ProblemKind string

// The kinds of problems.
const (
	// ProblemInvalid: the request is not valid; repeating it cannot succeed.
	ProblemInvalid ProblemKind = "invalid"
	// ProblemTooLarge: the body of the request exceeds the limit.
	ProblemTooLarge     ProblemKind = "too large"
	ProblemUnknownJob   ProblemKind = "unknown job"
	ProblemUnknownQueue ProblemKind = "unknown queue"
	// ProblemNotDone: the request was not carried out and will not be.
	ProblemNotDone ProblemKind = "not done"
	// ProblemUnservable: the job was not accepted, because it exceeds a limit, none of the
	// present workers could ever run it, or a job of another queue has its id.
	ProblemUnservable ProblemKind = "unservable"
	// ProblemOverloaded: the job was not accepted, because it could not be served in time.
	// It may be submitted again after the time in the Retry-After header.
	ProblemOverloaded ProblemKind = "overloaded"
	// ProblemUncertain: the request may have been carried out, or its result is unknown.
	ProblemUncertain ProblemKind = "uncertain"
	// ProblemNotLeading: this daemon is not the leader, and only the leader can answer the
	// request.
	ProblemNotLeading ProblemKind = "not leading"
	// ProblemNotServed: the interface has no such call.
	ProblemNotServed ProblemKind = "not served"
)

// JobState is the state of a job, as returned to callers.
type JobState struct {
	ID    job.ID    `json:"id"`
	State job.State `json:"state"`
}

// QueueStatus is the status of a queue, as returned to callers.
type QueueStatus struct {
	Queue string `json:"queue"`
	// Waiting is the number of pending jobs, of which no task has started.
	Waiting int `json:"waiting"`
}

// Status is the status of a daemon.
type Status struct {
	Daemon string `json:"daemon"`
	Zone   string `json:"zone"`
	// Leads reports whether the daemon is the leader, which schedules for all daemons.
	Leads bool `json:"leads"`
	// Ready reports whether the daemon should get callers' connections.
	Ready bool `json:"ready"`
	// ConfigVersion is the version of the configuration in force, 0 before the first.
	ConfigVersion uint64 `json:"configVersion"`
	// StoreSilence is the time since the store's last response.
	StoreSilence time.Duration `json:"storeSilenceNs"`
	// Peers is the number of other daemons that this daemon knows.
	Peers int `json:"peers"`
	// Cordons is what the leader knows of the cordoned availability zones; nil at the
	// other daemons, and before the leader has read them.
	Cordons *CordonStatus `json:"cordons,omitempty"`
}

// CordonStatus is the state of the cordoned availability zones.
type CordonStatus struct {
	// Zones maps each cordoned zone to the store revision that cordoned it.
	Zones cordon.Zones `json:"zones"`
	// Age is the time since the zones were read.
	Age time.Duration `json:"ageNs"`
}

// TooLargeError reports a request body that exceeds the limit.
type TooLargeError struct{}

// Error implements error.
func (*TooLargeError) Error() string { return "the body is too large" }

const (
	// defaultRetryAfter is the time in seconds after which to retry a refused request.
	// It is short because outages of the store last seconds, and because other daemons
	// may serve the request at once.
	defaultRetryAfter = "1"
	// infeasibleRetryAfter is the same for a job that exceeds a limit, that cannot be stored,
	// that no worker can run or whose id is taken: that does not change within seconds.
	infeasibleRetryAfter = "60"
)

// RetryAfterSeconds returns the value of the Retry-After header for an error that means
// that the request was not carried out.
func RetryAfterSeconds(err error) string {
	var overloaded *jobservice.OverloadedError
	if errors.As(err, &overloaded) {
		return strconv.Itoa(int(overloaded.Decision.RetryAfter.Seconds()))
	}
	if isUnservable(err) {
		return infeasibleRetryAfter
	}
	return defaultRetryAfter
}

// isUnservable reports whether a job was not accepted for a reason that lasts.
func isUnservable(err error) bool {
	var infeasible *job.InfeasibleError
	var unstorable *job.UnstorableError
	var limit *job.LimitError
	var taken *jobservice.IDTakenError
	return errors.As(err, &infeasible) || errors.As(err, &unstorable) || errors.As(err, &limit) || errors.As(err, &taken)
}

// ProblemOf returns the HTTP status and the kind of problem for an error of a request. An
// error of an unknown type counts as uncertain.
func ProblemOf(err error) (int, ProblemKind) {
	var invalid *job.InvalidError
	var large *TooLargeError
	var queue *jobservice.UnknownQueueError
	var unknown *jobservice.UnknownJobError
	var unavailable *jobservice.UnavailableError
	var uncertain *jobservice.UncertainError
	var stale *jobservice.StaleSummaryError
	var follower *jobservice.NotLeadingError
	var overloaded *jobservice.OverloadedError
	var routing *echo.HTTPError
	switch {
	case errors.As(err, &uncertain):
		// Its cause may be of any of the other types.
		return http.StatusGatewayTimeout, ProblemUncertain
	case errors.As(err, &overloaded):
		return http.StatusTooManyRequests, ProblemOverloaded
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
	case isUnservable(err):
		return http.StatusServiceUnavailable, ProblemUnservable
	case errors.As(err, &unavailable), errors.As(err, &stale):
		return http.StatusServiceUnavailable, ProblemNotDone
	case errors.As(err, &routing):
		return routing.Code, ProblemNotServed
	}
	return http.StatusGatewayTimeout, ProblemUncertain
}
