package workersession

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// Event is an input of Session.Step.
type Event interface{ event() }

// Kind is the action that the owner desires for an attempt.
type Kind uint8

// The desired actions. Once the action was Stop, it does not change back to
// Start or Keep.
const (
	// Start starts an attempt that is committed to the worker and not yet known
	// to be running.
	Start Kind = iota + 1
	// Keep renews an attempt that the ledger records as running.
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

// DesiredTask is the desired state of one attempt.
type DesiredTask struct {
	Attempt model.AttemptKey
	Kind    Kind
	// Start is required if Kind is Start. The session works on a copy in which
	// it sets the task and attempt.
	Start *workerv1.Start
	// Checkpoint requests a checkpoint before a stop.
	Checkpoint bool
	// Throttle is the percentage of its processors that a running task may
	// use; 0 means 100.
	Throttle uint32
}

// Desired replaces the desired state of the worker, as derived from the
// committed ledger. Tasks contains every attempt whose size is committed on the
// worker. All other attempts that the session or the agent knows are stopped and
// then forgotten.
//
// The session sends nothing before its first Desired. The attempts in the first
// Desired are treated as inherited from an earlier owner, so a new session must
// be given a Desired immediately, even if it is empty.
type Desired struct {
	Tasks []DesiredTask
	// Forget names additional attempts whose end is committed, so that the agent
	// can drop its records of them.
	Forget []model.AttemptKey
}

// Answered is the result of the Send with the same ID. Exactly one of Resp and
// Err is set. ReceivedAt is the time of receipt by the clock of Step's now. It
// must not be earlier than the actual arrival of the response.
type Answered struct {
	ID         uint64
	Resp       *workerv1.ApplyResponse
	Err        error
	SentAt     time.Time
	ReceivedAt time.Time
}

// Tick reports the passage of time. It should be given several times per
// Options.RetryEvery.
type Tick struct{}

// Permission reports what the owner's own lease on the shard permits. With
// neither Full nor RenewOnly set, the session sends nothing.
type Permission struct {
	// Full permits all messages.
	Full bool
	// RenewOnly permits only renewals: the store is down and nothing new can be
	// committed.
	RenewOnly bool
	// Until, if not zero, is when the permission expires. Without it, an owner
	// that was paused would act on a permission from before the pause.
	Until time.Time
	// PredecessorsOver states that every attempt that earlier owners of the
	// shard renewed through a store outage is certainly over, as determined with
	// Options.PredecessorExpiry. Once set it stays in effect, even if later
	// events do not set it.
	PredecessorsOver bool
}

// VMGone reports that the platform no longer lists the worker's VM. Nothing more
// is started on it. The list is delayed and can be wrong, so running attempts
// are neither given up nor considered over any earlier.
type VMGone struct{}

// VMListed reports that the platform lists the worker's VM again. It revokes
// VMGone.
type VMListed struct{}

func (Desired) event()    {}
func (Answered) event()   {}
func (Tick) event()       {}
func (Permission) event() {}
func (VMGone) event()     {}
func (VMListed) event()   {}
