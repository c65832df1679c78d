package ledger

import "fmt"

// CorruptReason is the reason why a stored ledger is corrupt.
type CorruptReason string

// The reasons of CorruptError.
const (
	CorruptValue    CorruptReason = "value not readable"
	CorruptKey      CorruptReason = "key not understood"
	CorruptGap      CorruptReason = "delta missing"
	CorruptSequence CorruptReason = "sequence differs from the key's"
	CorruptEpoch    CorruptReason = "epoch lower than the delta before"
)

// CorruptError is the error for a stored ledger that cannot be the result of this
// package's commits. Key is the key at which this was found.
type CorruptError struct {
	Key    string
	Reason CorruptReason
	Cause  error
}

// Error implements error.
func (e *CorruptError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("ledger: %s: %s", e.Key, e.Reason)
	}
	return fmt.Sprintf("ledger: %s: %s: %v", e.Key, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }
