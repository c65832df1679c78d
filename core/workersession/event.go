package workersession

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// Event is what Step is told.
type Event interface{ event() }

// Kind is what the owner wants of an attempt.
type Kind uint8

// The kinds of wish. An attempt that was once to stop is never started or
// kept again.
const (
	// Start asks for an attempt that is committed to the worker and not yet
	// known to run.
	Start Kind = iota + 1
	// Keep renews an attempt that the ledger has as running.
	Keep
	// Stop ends an attempt.
	Stop
)

var kindNames = [...]string{"invalid", "start", "keep", "stop"}

// String returns the kind's name.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return kindNames[0]
	}
	return kindNames[k]
}

// DesiredTask is the owner's wish for one attempt.
type DesiredTask struct {
	Attempt model.AttemptKey
	Kind    Kind
	// Start is needed when Kind is Start. The session fills in its task and
	// attempt and does not change it otherwise.
	Start *workerv1.Start
	// Checkpoint asks for a checkpoint before a stop.
	Checkpoint bool
	// Throttle is the percentage of its processors that a running task may
	// use; 0 stands for 100.
	Throttle uint32
}

// Desired replaces everything that the owner wants of the worker, by the
// committed ledger: Tasks holds each attempt that holds room on it. What the
// session or the agent knows beyond that is stopped, and then forgotten.
//
// The session sends nothing before its first Desired. The attempts in the
// first one are taken as inherited from an earlier owner, so a session is
// given one at its creation even when that is empty.
type Desired struct {
	Tasks []DesiredTask
	// Forget names further attempts whose end is committed, so that the agent
	// can drop its record of them.
	Forget []model.AttemptKey
}

// Answered is the end of the call that Send numbered ID. Exactly one of Resp
// and Err is set. ReceivedAt is read from the same clock as Step's now, after
// the response arrived, and must not be earlier than its arrival.
type Answered struct {
	ID         uint64
	Resp       *workerv1.ApplyResponse
	Err        error
	SentAt     time.Time
	ReceivedAt time.Time
}

// Tick lets time pass. It is due several times per Options.RetryEvery.
type Tick struct{}

// Permission says what the owner's own lease on the shard allows. With neither
// set the session sends nothing.
type Permission struct {
	// Full allows everything.
	Full bool
	// RenewOnly allows renewals: the store is down and nothing new can be
	// committed.
	RenewOnly bool
	// Until, when not zero, is when the permission ends by itself. Without
	// it an owner that was paused would act on a permission from before the
	// pause.
	Until time.Time
	// PredecessorsOver says that everything that earlier owners of the shard
	// renewed through an outage of the store is over for certain, by
	// Options.PredecessorsEnd. Once said it holds.
	PredecessorsOver bool
}

// VMGone says that the platform no longer lists the worker's VM. The list is
// late and can be wrong, so nothing more is started there, and what runs there
// is neither given up nor thought to be over any earlier.
type VMGone struct{}

// VMListed takes back VMGone.
type VMListed struct{}

func (Desired) event()    {}
func (Answered) event()   {}
func (Tick) event()       {}
func (Permission) event() {}
func (VMGone) event()     {}
func (VMListed) event()   {}
