package grpcworker

import (
	"fmt"

	"google.golang.org/grpc/connectivity"
)

// ClosedError says that the Client was closed.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "client is closed" }

// NotConnectedError says that no connection could be had in time, so that
// nothing was sent.
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
