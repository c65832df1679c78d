package httpvms

import (
	"fmt"

	"github.com/guavarill/guavarill/core/model"
)

// StatusError is an answer with a status other than 200, or 304 where no change
// was asked for.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// TagError is an answer that says of another list than the one asked about that
// it did not change.
type TagError struct{ Asked, Got string }

// Error implements error.
func (e *TagError) Error() string {
	return fmt.Sprintf("asked about list %s, which answer calls %s", e.Asked, e.Got)
}

// TooLargeError is an answer whose body is larger than the bound.
type TooLargeError struct{ MaxBytes int64 }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("body is larger than %d bytes", e.MaxBytes)
}

// DecodeError is a body that is not a JSON array of VMs.
type DecodeError struct{ Cause error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("body not understood: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// NotAnArrayError is a body of null where an array belongs.
type NotAnArrayError struct{}

// Error implements error.
func (*NotAnArrayError) Error() string { return "not an array" }

// InvalidReason says what is wrong with a line of the list.
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

// InvalidVMError is a list with a line that contradicts itself or another. The
// whole list is refused: without that line a live VM would look gone.
type InvalidVMError struct {
	Index  int
	ID     model.WorkerID
	Reason InvalidReason
}

// Error implements error.
func (e *InvalidVMError) Error() string {
	return fmt.Sprintf("VM %d (%q): %s", e.Index, e.ID, e.Reason)
}
