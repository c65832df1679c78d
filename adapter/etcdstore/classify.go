package etcdstore

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	"github.com/guavarill/guavarill/port"
)

// AnswerError is an answer that the protocol does not allow.
type AnswerError struct {
	Reason string
}

// Error implements error.
func (e *AnswerError) Error() string { return e.Reason }

// classify turns a failed exchange into a StoreError. sent is whether the
// call's message was handed to a connection.
func classify(ctx context.Context, c *call, err error, sent bool) *port.StoreError {
	failure := &port.StoreError{Call: c.name, Kind: port.StoreUnavailable, Outcome: c.lostOutcome(), Cause: err}
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
	kind, notDone := (&etcdwire.Refusal{Code: st.Code(), Text: st.Message()}).Sort()
	failure.Kind = kind
	if notDone {
		failure.Outcome = port.OutcomeNotDone
	}
	return failure
}

func canceledByCaller(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}

// answered is whether err is the store's own word on the call, which shows
// that the connection works.
func answered(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.Canceled, codes.DeadlineExceeded, codes.Unknown, codes.Internal:
		return false
	default:
		return true
	}
}

// badAnswer is a call that succeeded with an answer that makes no sense: what
// it did is not known.
func badAnswer(c *call, reason string) *port.StoreError {
	return &port.StoreError{
		Call: c.name, Kind: port.StoreMalformedResponse, Outcome: c.lostOutcome(),
		Cause: &AnswerError{Reason: reason},
	}
}
