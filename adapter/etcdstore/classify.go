package etcdstore

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	"github.com/guavarill/guavarill/port"
)

// ResponseError reports a response that violates the protocol, or the reason that
// the store gave for canceling a watch.
type ResponseError struct {
	Reason string
}

// Error implements error.
func (e *ResponseError) Error() string { return e.Reason }

// classify converts the error of a failed exchange into a StoreError. sent
// reports whether the call's message was passed to a connection.
func classify(ctx context.Context, c *call, err error, sent bool) *port.StoreError {
	failure := &port.StoreError{Call: c.name, Kind: port.StoreUnavailable, Outcome: c.outcomeWithoutResponse(), Cause: err}
	if !sent {
		failure.Outcome = port.OutcomeNotDone
	}
	if canceledByCaller(ctx) {
		failure.Kind = port.StoreCallCanceled
		return failure
	}
	st, ok := status.FromError(err)
	if !ok {
		return failure
	}
	kind, notDone := (&etcdwire.Refusal{Code: st.Code(), Text: st.Message()}).Classify()
	failure.Kind = kind
	if notDone {
		failure.Outcome = port.OutcomeNotDone
	}
	return failure
}

func canceledByCaller(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}

// isStoreResponse reports whether err is a status returned by the store itself,
// which proves that the connection works. Statuses that the gRPC library also
// creates locally prove nothing.
func isStoreResponse(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.Canceled, codes.DeadlineExceeded, codes.Unknown, codes.Internal:
		return false
	default:
		return true
	}
}

// malformedResponse returns the error of a call that succeeded with a malformed
// response. The outcome of a mutating call is then unknown.
func malformedResponse(c *call, reason string) *port.StoreError {
	return &port.StoreError{
		Call: c.name, Kind: port.StoreMalformedResponse, Outcome: c.outcomeWithoutResponse(),
		Cause: &ResponseError{Reason: reason},
	}
}
