package traffic

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/model"
)

// Request is a caller's request, whole. The engine and the targets only read
// it.
type Request struct {
	Service string
	// ID is the caller's name for the request; the engine makes one when it
	// is empty.
	ID     string
	Method string
	// Path and Query are as sent to the target; Path begins with a slash.
	Path       string
	Query      string
	Header     http.Header
	Body       []byte
	Idempotent bool
	Priority   model.Priority
	// Timeout is how long the caller waits; 0 takes the service's.
	Timeout time.Duration
}

// Response is a target's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// RequestID is the request's id, made by the engine when the caller gave
	// none.
	RequestID string
	// Address is the target that answered, Attempts how many exchanges were
	// begun.
	Address  string
	Attempts int
	// Leaving is set when the target said that it is leaving.
	Leaving bool
}

// Call is one exchange that the engine asks of a Target.
type Call struct {
	*Request
	// Fresh asks for a new connection: an earlier one went silent.
	Fresh bool
	// TrustSince is since when a connection must have carried an answer, or
	// have been opened, to be used. A zero time trusts all.
	TrustSince time.Time
	// SilenceAfter is how long the target may say nothing before its
	// connection is suspected; 0 takes the adapter's default.
	SilenceAfter time.Duration
	// Silent, when set, is told at most once that this time has passed, on a
	// goroutine of the adapter, possibly just after Do returned. Proven is
	// whether the connection is to blame: it was used before, and the target
	// meanwhile answered over a new one. With true the exchange is given up.
	Silent func(proven bool) (giveUp bool)
}

// Target reaches the instances of services. It is safe for concurrent use.
type Target interface {
	// Do carries out one exchange and returns the answer once it is whole. It
	// never sends a request twice. An error is an *ExchangeError.
	Do(ctx context.Context, address string, call *Call) (*Response, error)
	// Limit sets the most connections that may be open to address; with 0 the
	// idle ones are closed and no new one is opened.
	Limit(address string, connections int)
}

// ExchangeError is an exchange that brought no answer.
type ExchangeError struct {
	Address string
	Point   fate.Stage
	Sent    fate.Sent
	Reason  fate.Reason
	// Leaving is set when the target said that it is leaving.
	Leaving bool
	// ConnectionOnly is set when the connection failed while the target was
	// proven well on a new one: nothing is held against the target.
	ConnectionOnly bool
	// RetryAfter is what the target asked for; 0 when it did not.
	RetryAfter time.Duration
	Cause      error
}

// Fate returns what became of the request in this exchange.
func (e *ExchangeError) Fate() fate.Fate { return fate.Of(e.Point, e.Sent) }

// Error implements error.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("target %s: %s (%s, %s sent): %v", e.Address, e.Reason, e.Point, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }
