package config

import (
	"fmt"

	"github.com/guavarill/guavarill/core/model"
)

// ConflictError refuses a change that was meant to replace another revision
// than the current one.
type ConflictError struct {
	// Base is the revision that the operator meant to replace; 0 is none.
	Base model.Revision
	// Current is the revision in force; 0 is none.
	Current model.Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config conflict: change is for revision %d, current is %d", e.Base, e.Current)
}

// NoShardsError refuses a manifest while the cluster has no shard to which its
// tasks could be dealt, because no worker has been seen yet.
type NoShardsError struct{}

// Error implements error.
func (*NoShardsError) Error() string { return "config: the cluster has no shards yet" }

// WriterError refuses a writer id that could not be told from others when it
// is read back.
type WriterError struct {
	Writer string
}

// Error implements error.
func (e *WriterError) Error() string {
	return fmt.Sprintf("config: writer id %q is empty, too long, not text or holds white space", e.Writer)
}

// DecodeErrorKind sorts what can be wrong with a stored or received
// configuration.
type DecodeErrorKind string

// The kinds of DecodeError.
const (
	// DecodeDocument: the manifest's document or a declaration is unreadable.
	DecodeDocument DecodeErrorKind = "document unreadable"
	// DecodeEnvelope: the stored value is not the expected message.
	DecodeEnvelope DecodeErrorKind = "envelope unreadable"
	// DecodeCompression: the stored value does not decompress, or to more than
	// a configuration may have.
	DecodeCompression DecodeErrorKind = "value does not decompress"
	// DecodeRecords: the records do not fit the document.
	DecodeRecords DecodeErrorKind = "records and document differ"
	// DecodeRevision: the revision is 0 or does not fit its base.
	DecodeRevision DecodeErrorKind = "impossible revision"
)

// DecodeError is a configuration that cannot be used.
type DecodeError struct {
	Kind DecodeErrorKind
	// Subject is the workload, team or key concerned.
	Subject string
	Cause   error
}

// Error implements error.
func (e *DecodeError) Error() string {
	text := "config: " + string(e.Kind)
	if e.Subject != "" {
		text += " at " + e.Subject
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// HashError is a delta whose result is not what the sender holds.
type HashError struct {
	Base     model.Revision
	Revision model.Revision
	Want     uint64
	Have     uint64
}

// Error implements error.
func (e *HashError) Error() string {
	return fmt.Sprintf("config: delta from %d to %d gives hash %016x, sender has %016x", e.Base, e.Revision, e.Have, e.Want)
}

// RevisionLowerError is a store that holds a lower revision than this daemon
// has seen, as after it was restored from a backup. Daemons never move to a
// lower revision, so what would be accepted on top of it would not come into
// force.
type RevisionLowerError struct {
	Stored model.Revision
	Known  model.Revision
}

// Error implements error.
func (e *RevisionLowerError) Error() string {
	return fmt.Sprintf("config: store holds revision %d, but %d has been in force", e.Stored, e.Known)
}
