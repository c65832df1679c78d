package config

import (
	"fmt"

	"github.com/guavarill/guavarill/core/model"
)

// ConflictError rejects a change whose base is not the current revision.
type ConflictError struct {
	// Base is the revision that the operator expected to replace; 0 means none.
	Base model.Revision
	// Current is the revision in force; 0 means none.
	Current model.Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config conflict: change is for revision %d, current is %d", e.Base, e.Current)
}

// NoShardsError rejects a manifest while the cluster has no shards to which its
// tasks could be assigned, because no worker has been discovered yet.
type NoShardsError struct{}

// Error implements error.
func (*NoShardsError) Error() string { return "config: the cluster has no shards yet" }

// WriterError rejects a writer id that could not be recognised in the stored
// list of writers: one that is empty, longer than 128 bytes, not valid UTF-8 or
// contains white space.
type WriterError struct {
	Writer string
}

// Error implements error.
func (e *WriterError) Error() string {
	return fmt.Sprintf("config: writer id %q is empty, too long, not text or holds white space", e.Writer)
}

// DecodeErrorKind classifies the faults of a stored or received configuration.
type DecodeErrorKind string

// The kinds of DecodeError.
const (
	// DecodeDocument: the manifest document or a declaration cannot be decoded.
	DecodeDocument DecodeErrorKind = "document unreadable"
	// DecodeEnvelope: the stored value is not a message of the expected type.
	DecodeEnvelope DecodeErrorKind = "envelope unreadable"
	// DecodeCompression: the stored value cannot be decompressed, or decompresses
	// to more than manifest.MaxEncodedBytes.
	DecodeCompression DecodeErrorKind = "value does not decompress"
	// DecodeRecords: the records do not match the document.
	DecodeRecords DecodeErrorKind = "records and document differ"
	// DecodeRevision: the revision is 0 or differs from the delta's.
	DecodeRevision DecodeErrorKind = "impossible revision"
)

// DecodeError reports a stored or received configuration that cannot be decoded.
type DecodeError struct {
	Kind DecodeErrorKind
	// Subject is the affected workload, team or store key.
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

// HashError reports a delta whose result differs from the sender's configuration.
// Want is the sender's hash and Have the hash of the result.
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

// RevisionRegressedError reports that the store holds a lower revision than this
// daemon has held, for example after the store was restored from a backup.
// Daemons never move to a lower revision, so a change accepted on top of the
// stored one would not come into force.
type RevisionRegressedError struct {
	Stored model.Revision
	Known  model.Revision
}

// Error implements error.
func (e *RevisionRegressedError) Error() string {
	return fmt.Sprintf("config: store holds revision %d, but %d has been in force", e.Stored, e.Known)
}
