package port

import (
	"fmt"
	"time"
)

// Outcome is what the caller knows about a change after its call has returned.
type Outcome int

// The outcomes. OutcomeUnknown follows a lost response: the change may have
// been made, or may still be made later.
const (
	OutcomeDone Outcome = iota
	OutcomeNotDone
	OutcomeUnknown
)

var outcomeNames = [...]string{"done", "not done", "unknown"}

// String returns the outcome's name, or "invalid" for an undeclared value.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "invalid"
	}
	return outcomeNames[o]
}

// StoreErrorKind classifies store failures by how the caller can react.
type StoreErrorKind string

// The kinds of store failure. StoreThrottled and StoreCallCanceled arise in the
// daemon itself and say nothing about the state of the store. The same call fails with
// StoreTooLarge or StoreInvalidCall again.
const (
	StoreUnavailable       StoreErrorKind = "unavailable"
	StoreTimeout           StoreErrorKind = "timeout"
	StoreTooLarge          StoreErrorKind = "value too large"
	StoreInvalidCall       StoreErrorKind = "call not valid"
	StoreLeaseNotFound     StoreErrorKind = "lease not found"
	StoreThrottled         StoreErrorKind = "over the daemon's own call budget"
	StoreCompacted         StoreErrorKind = "watch revision compacted"
	StoreWatchBroken       StoreErrorKind = "watch broken"
	StoreMalformedResponse StoreErrorKind = "answer not understood"
	StoreCallCanceled      StoreErrorKind = "canceled by the caller"
)

// StoreError is the type of every error that a Store returns.
type StoreError struct {
	// Call is the name of the method that failed.
	Call string
	Kind StoreErrorKind
	// Outcome is OutcomeNotDone only if the change was certainly not made.
	Outcome Outcome
	Cause   error
}

// Error implements error.
func (e *StoreError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("store %s: %s (change %s)", e.Call, e.Kind, e.Outcome)
	}
	return fmt.Sprintf("store %s: %s (change %s): %v", e.Call, e.Kind, e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// TransferError reports a response that broke off after a part of it had been
// received.
type TransferError struct {
	// Bytes is the number of bytes received.
	Bytes int
	// Took is the time from the start of the response to the failure.
	Took  time.Duration
	Cause error
}

// Error implements error.
func (e *TransferError) Error() string {
	return fmt.Sprintf("answer broke off after %d bytes and %d ms: %v", e.Bytes, e.Took.Milliseconds(), e.Cause)
}

// Unwrap returns the cause.
func (e *TransferError) Unwrap() error { return e.Cause }

// WorkerError is a failed call to a worker's agent. Unless Outcome is
// OutcomeNotDone, the agent may have executed the commands.
type WorkerError struct {
	Worker  string
	Outcome Outcome
	Cause   error
}

// Error implements error.
func (e *WorkerError) Error() string {
	return fmt.Sprintf("worker %s: commands %s: %v", e.Worker, e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *WorkerError) Unwrap() error { return e.Cause }

// PeerErrorKind classifies the failures of calls between daemons.
type PeerErrorKind string

// The kinds of peer failure.
const (
	PeerUnreachable   PeerErrorKind = "unreachable"
	PeerOtherCluster  PeerErrorKind = "belongs to another cluster"
	PeerOtherProtocol PeerErrorKind = "speaks another protocol version"
	PeerRefused       PeerErrorKind = "refused"
)

// PeerError is a failed call to another daemon.
type PeerError struct {
	Peer  string
	Kind  PeerErrorKind
	Cause error
}

// Error implements error.
func (e *PeerError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("peer %s: %s", e.Peer, e.Kind)
	}
	return fmt.Sprintf("peer %s: %s: %v", e.Peer, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// VMListError is a failure to read the platform's list of VMs.
type VMListError struct {
	Cause error
}

// Error implements error.
func (e *VMListError) Error() string { return fmt.Sprintf("list of VMs: %v", e.Cause) }

// Unwrap returns the cause.
func (e *VMListError) Unwrap() error { return e.Cause }
