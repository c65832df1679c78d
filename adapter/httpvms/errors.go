package httpvms

import (
	"fmt"

	"github.com/guavarill/guavarill/core/model"
)

// StatusError reports a response with a status other than 200, including a 304
// in response to an unconditional request.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// TagError reports a 304 response whose ETag differs from the one in the
// request, so that it describes a different version of the list.
type TagError struct{ Asked, Got string }

// Error implements error.
func (e *TagError) Error() string {
	return fmt.Sprintf("asked about list %s, which answer calls %s", e.Asked, e.Got)
}

// TooLargeError reports a response body larger than MaxBytes bytes.
type TooLargeError struct{ MaxBytes int64 }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("body is larger than %d bytes", e.MaxBytes)
}

// DecodeError reports a response body that is not a JSON array of VMs.
type DecodeError struct{ Cause error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("body not understood: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// NotAnArrayError reports a response body of null instead of an array.
type NotAnArrayError struct{}

// Error implements error.
func (*NotAnArrayError) Error() string { return "not an array" }

// InvalidReason describes why an entry of the list is invalid.
type InvalidReason string

// The reasons of InvalidVMError.
const (
	MissingID        InvalidReason = "id is missing"
	DuplicateID      InvalidReason = "id is listed twice"
	UnknownState     InvalidReason = "state is neither live nor leaving"
	MissingAddress   InvalidReason = "address is missing"
	MissingRack      InvalidReason = "rack is missing"
	NegativeCapacity InvalidReason = "capacity is negative"
)

// InvalidVMError reports an entry of the list that is invalid or that duplicates
// another. The whole list is rejected, because a live VM would appear to be gone
// if only its entry were skipped. Index counts from 0.
type InvalidVMError struct {
	Index  int
	ID     model.WorkerID
	Reason InvalidReason
}

// Error implements error.
func (e *InvalidVMError) Error() string {
	return fmt.Sprintf("VM %d (%q): %s", e.Index, e.ID, e.Reason)
}
