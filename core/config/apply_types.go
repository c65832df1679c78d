package config

import (
	"time"

	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// ApplyRequest is one operator's change.
type ApplyRequest struct {
	// Manifest is to be accepted. When it is nil, the workloads named by Cancel
	// are to be cancelled.
	Manifest *manifest.Manifest
	Cancel   []string
	// Base is the revision that the operator means to replace, 0 for none.
	// When Base is nil it is whatever revision is read first.
	Base *model.Revision
	// Shards is how many shards the cluster has.
	Shards uint32
	// Writer is an id that no other request has, without white space.
	Writer string
	// Known is the highest revision that this daemon has held.
	Known model.Revision
}

// ApplyOptions says how an ApplyOp reaches the store.
type ApplyOptions struct {
	// Key is where the store keeps the configuration.
	Key string
	// HeadKey is where the store keeps the configuration's revision alone,
	// written with each change, so that who polls needs not read it whole.
	HeadKey string
	// Deadline ends the operation, with ApplyUnknown when it is not settled.
	Deadline time.Time
	// RetryDelay is waited after a failed call; it doubles up to MaxRetryDelay.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
}

// ApplyEvent is something that an ApplyOp is told.
type ApplyEvent interface{ applyEvent() }

// ApplyBegin starts the operation.
type ApplyBegin struct{}

// ApplyRead answers a ReadConfig.
type ApplyRead struct {
	KV  port.KeyValue
	Err error
}

// ApplyCommitted answers a CommitConfig.
type ApplyCommitted struct {
	Result port.TxnResult
	Err    error
}

// ApplyTick tells that time has passed.
type ApplyTick struct{}

func (ApplyBegin) applyEvent()     {}
func (ApplyRead) applyEvent()      {}
func (ApplyCommitted) applyEvent() {}
func (ApplyTick) applyEvent()      {}

// ApplyCommand is something that an ApplyOp wants done. It wants one thing at a
// time.
type ApplyCommand interface{ applyCommand() }

// ReadConfig asks for the value of Key; answer with ApplyRead.
type ReadConfig struct {
	Key string
}

// CommitConfig asks for one transaction; answer with ApplyCommitted.
type CommitConfig struct {
	Conditions []port.Condition
	Ops        []port.Op
}

// WaitUntil asks for an ApplyTick at or after Time.
type WaitUntil struct {
	Time time.Time
}

// ApplyFinished is the operation's end; nothing follows.
type ApplyFinished struct {
	Result ApplyResult
}

func (ReadConfig) applyCommand()    {}
func (CommitConfig) applyCommand()  {}
func (WaitUntil) applyCommand()     {}
func (ApplyFinished) applyCommand() {}

// ApplyResult is how an operation ended.
type ApplyResult interface{ applyResult() }

// ApplyAccepted: the change is in the store as Revision.
type ApplyAccepted struct {
	Revision model.Revision
	Diff     Diff
	// Config is what was stored.
	Config *Accepted
}

// ApplyNoChange: the store holds at Revision what the operator wants.
type ApplyNoChange struct {
	Revision model.Revision
}

// ApplyConflict: the change was not made, and will not be, because another one
// came before it.
type ApplyConflict struct {
	Base model.Revision
	// Current is the revision in force, 0 when it could not be read, and
	// Writer who made it, when that is known.
	Current model.Revision
	Writer  string
}

// ApplyRefused: the change was not made because it is not valid.
type ApplyRefused struct {
	// Problems are listed when Cause is a *manifest.InvalidError.
	Problems []manifest.Problem
	Cause    error
}

// ApplyNotMade: the change was certainly not made, for a reason outside it. The
// operator may send it again.
type ApplyNotMade struct {
	Cause error
}

// ApplyUnknown: the change may have been made or may still be made. It was if
// the configuration numbered Revision is Writer's.
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

// DeadlineError ends an operation that was not settled in time.
type DeadlineError struct{}

// Error implements error.
func (*DeadlineError) Error() string { return "config: deadline passed" }
