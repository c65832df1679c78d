package fate

import (
	"fmt"
	"time"
)

// Reason is the reason why a request was not answered.
type Reason string

// The reasons that arise in the entry itself.
const (
	ReasonNotServing      Reason = "entry-not-serving"
	ReasonUnknownService  Reason = "unknown-service"
	ReasonNoRoute         Reason = "no-such-route"
	ReasonInvalidRequest  Reason = "invalid-request"
	ReasonRequestTooLarge Reason = "request-too-large"
	ReasonQueueFull       Reason = "queue-full"
	ReasonDeadlineTooNear Reason = "deadline-too-near"
	ReasonOverload        Reason = "overload"
	ReasonNoCapacity      Reason = "no-capacity"
	ReasonPreempted       Reason = "displaced-by-priority"
	ReasonDeadline        Reason = "deadline-exceeded"
	ReasonCallerGone      Reason = "caller-gone"
	ReasonInternal        Reason = "internal"
)

// The reasons that arise from the record of request ids.
const (
	ReasonClaimHeld     Reason = "request-id-already-used"
	ReasonClaimUnsure   Reason = "request-id-unsure"
	ReasonClaimMismatch Reason = "request-id-of-another-payload"
	ReasonClaimFull     Reason = "request-id-record-full"
	ReasonClaimExpired  Reason = "request-id-claim-expired"
)

// The reasons that arise in the exchange with a target.
const (
	ReasonConnectRefused   Reason = "connect-refused"
	ReasonConnectFailed    Reason = "connect-failed"
	ReasonNoConnection     Reason = "no-connection-free"
	ReasonTargetNotStarted Reason = "target-did-not-start"
	ReasonConnectionBroken Reason = "connection-broken"
	ReasonTargetSilent     Reason = "target-silent"
	ReasonAnswerCutShort   Reason = "answer-cut-short"
	ReasonAnswerMalformed  Reason = "answer-malformed"
	ReasonAnswerTooLarge   Reason = "answer-too-large"
)

// IsShed reports whether the request was rejected because of load. The caller should
// then wait rather than try another entry immediately.
func (r Reason) IsShed() bool {
	switch r {
	case ReasonQueueFull, ReasonDeadlineTooNear, ReasonOverload, ReasonPreempted, ReasonClaimFull:
		return true
	}
	return false
}

// Error is the final result of a request that was not answered.
type Error struct {
	Fate      Fate
	Reason    Reason
	Service   string
	RequestID string
	// RetryAfter is how long the caller is asked to wait before it repeats the
	// request; 0 leaves the time to the caller.
	RetryAfter time.Duration
	// Attempts is the number of exchanges with targets that were begun.
	Attempts int
	Cause    error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("request %s to %s: %s: %s", e.RequestID, e.Service, e.Fate, e.Reason)
	}
	return fmt.Sprintf("request %s to %s: %s: %s: %v", e.RequestID, e.Service, e.Fate, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
