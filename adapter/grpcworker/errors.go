package grpcworker

import (
	"fmt"

	"google.golang.org/grpc/connectivity"
)

// ClosedError reports a call on a closed Client.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "client is closed" }

// NotConnectedError reports that no connection was made in time. Nothing was sent.
type NotConnectedError struct {
	State connectivity.State
	Cause error
}

// Error implements error.
func (e *NotConnectedError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("no connection: %v", e.State)
	}
	return fmt.Sprintf("no connection: %v: %v", e.State, e.Cause)
}

// Unwrap returns the cause.
func (e *NotConnectedError) Unwrap() error { return e.Cause }
