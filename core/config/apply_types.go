package config

import (
	"time"

	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// ApplyRequest is one operator's change.
type ApplyRequest struct {
	// Manifest is the manifest to accept. If it is nil, the request cancels the
	// workloads named in Cancel.
	Manifest *manifest.Manifest
	Cancel   []string
	// Base is the revision that the operator expects to replace; 0 means that
	// no configuration exists. If Base is nil, the first revision that is read
	// is the base.
	Base *model.Revision
	// Shards is the number of shards of the cluster.
	Shards uint32
	// Writer is an id that is unique to this request and holds no white space.
	Writer string
	// Known is the highest revision that this daemon has held. A lower stored
	// revision ends the operation, with a RevisionRegressedError as the cause.
	Known model.Revision
}

// ApplyOptions holds the store keys and the time limits of an ApplyOp.
type ApplyOptions struct {
	// Key is the store key of the configuration.
	Key string
	// HeadKey is the store key that holds only the revision. It is written with
	// each change, so that pollers need not read the whole configuration.
	HeadKey string
	// Deadline ends the operation. The result is ApplyUnknown if a write was
	// sent and its outcome is not known by then.
	Deadline time.Time
	// RetryDelay is the delay after the first failed call. It doubles with each
	// failure up to MaxRetryDelay.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
}

// ApplyEvent is an input of ApplyOp.Step.
type ApplyEvent interface{ applyEvent() }

// ApplyBegin starts the operation.
type ApplyBegin struct{}

// ApplyReadDone is the response to a ReadConfig.
type ApplyReadDone struct {
	KV  port.KeyValue
	Err error
}

// ApplyCommitDone is the response to a CommitConfig.
type ApplyCommitDone struct {
	Result port.TxnResult
	Err    error
}

// ApplyTick reports that time has passed.
type ApplyTick struct{}

func (ApplyBegin) applyEvent()      {}
func (ApplyReadDone) applyEvent()   {}
func (ApplyCommitDone) applyEvent() {}
func (ApplyTick) applyEvent()       {}

// ApplyCommand is an action that the caller of ApplyOp.Step executes. At most
// one command is outstanding at a time.
type ApplyCommand interface{ applyCommand() }

// ReadConfig requests the value of Key. The response is an ApplyReadDone.
type ReadConfig struct {
	Key string
}

// CommitConfig requests one transaction. The response is an ApplyCommitDone.
type CommitConfig struct {
	Conditions []port.Condition
	Ops        []port.Op
}

// WaitUntil requests an ApplyTick at or after Time.
type WaitUntil struct {
	Time time.Time
}

// ApplyFinished ends the operation; no command follows it.
type ApplyFinished struct {
	Result ApplyResult
}

func (ReadConfig) applyCommand()    {}
func (CommitConfig) applyCommand()  {}
func (WaitUntil) applyCommand()     {}
func (ApplyFinished) applyCommand() {}

// ApplyResult is the outcome of an ApplyOp.
type ApplyResult interface{ applyResult() }

// ApplyAccepted reports that the change is stored as Revision.
type ApplyAccepted struct {
	Revision model.Revision
	Diff     Diff
	// Config is the stored configuration.
	Config *Accepted
}

// ApplyNoChange reports that the configuration stored at Revision already
// matches the request.
type ApplyNoChange struct {
	Revision model.Revision
}

// ApplyConflict reports that the change was not made, and will not be, because
// another change was made first.
type ApplyConflict struct {
	Base model.Revision
	// Current is the stored revision, 0 if it could not be read or no
	// configuration exists. Writer is the id of its writer, if known.
	Current model.Revision
	Writer  string
}

// ApplyRefused reports that the change was not made because it is not valid.
type ApplyRefused struct {
	// Problems is set if Cause is a *manifest.InvalidError.
	Problems []manifest.Problem
	Cause    error
}

// ApplyNotMade reports that the change was certainly not made, because of a
// failure that is not in the change itself. The operator may send it again.
type ApplyNotMade struct {
	Cause error
}

// ApplyUnknown reports that the change may have been made or may still be made.
// It was made if the configuration with revision Revision was written by Writer.
type ApplyUnknown struct {
	Revision model.Revision
	Writer   string
	Cause    error
}

func (ApplyAccepted) applyResult() {}
func (ApplyNoChange) applyResult() {}
func (ApplyConflict) applyResult() {}
func (ApplyRefused) applyResult()  {}
func (ApplyNotMade) applyResult()  {}
func (ApplyUnknown) applyResult()  {}

// DeadlineError reports that the deadline of an operation passed before its
// outcome was known and without a failed call.
type DeadlineError struct{}

// Error implements error.
func (*DeadlineError) Error() string { return "config: deadline passed" }
