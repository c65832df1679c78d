package workersession

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// Command is what Step asks its caller to do or to know.
type Command interface{ command() }

// Send asks for one call to the worker's agent, to be ended by an Answered
// with the same ID. Req must not be changed.
type Send struct {
	ID      uint64
	Req     *workerv1.ApplyRequest
	Timeout time.Duration
}

// State is what the agent said of an attempt.
type State uint8

// The states of an attempt. All but StateRunning are ends: the attempt is
// certainly over and cannot start again.
const (
	StateRunning State = iota + 1
	StateSucceeded
	StateFailed
	StateStopped
	// StateRefused: the agent declined to start it; Outcome says why.
	StateRefused
)

var stateNames = [...]string{"invalid", "running", "succeeded", "failed", "stopped", "refused"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return stateNames[0]
	}
	return stateNames[s]
}

// Observed is a change in what the agent says of an attempt. It is repeated
// after each Desired that still disagrees with it, so a receiver that lost one
// gets it again and must take repeats.
type Observed struct {
	Attempt model.AttemptKey
	State   State
	// Address is where a running service takes requests.
	Address string
	// Checkpoint is what the task can resume from after StateStopped.
	Checkpoint string
	// Outcome is set with StateRefused.
	Outcome workerv1.Outcome
	Detail  string
}

// OverReason says why an attempt is over when the agent did not report its
// end.
type OverReason string

// The reasons of Over.
const (
	// LeaseExpired: the bound on its lease has passed.
	LeaseExpired OverReason = "lease expired"
	// WorkerRestarted: the agent began a new boot and lost its tasks.
	WorkerRestarted OverReason = "worker restarted"
	// NotKnown: the agent, told to stop it, does not know it.
	NotKnown OverReason = "not known to the worker"
	// Superseded: the agent knows a newer attempt of the task.
	Superseded OverReason = "superseded"
	// NeverSent: no start of it can have left for the worker.
	NeverSent OverReason = "never sent"
)

// Over says that an attempt is certainly over although the agent did not
// report its end. Like Observed it is repeated until the ledger agrees.
type Over struct {
	Attempt model.AttemptKey
	Reason  OverReason
}

// Fenced says that the agent has seen a newer owner. The session does nothing
// from then on.
type Fenced struct{ Epoch model.Epoch }

// Unreachable says that the agent has not answered since Since. Its tasks may
// run on.
type Unreachable struct{ Since time.Time }

// Reachable ends Unreachable.
type Reachable struct{}

// Leaving says that the agent announced its VM's end. It is given once.
type Leaving struct{}

// Usage is a measurement of one running attempt, as old as the agent's lag.
type Usage struct {
	Attempt    model.AttemptKey
	MilliCPU   int64
	MemoryMB   int64
	MeasuredAt time.Time
	// SlowdownPercent is 100 for an undisturbed task, 200 for one that takes
	// twice as long.
	SlowdownPercent uint32
	ProgressPercent uint32
}

func (Send) command()        {}
func (Observed) command()    {}
func (Over) command()        {}
func (Fenced) command()      {}
func (Unreachable) command() {}
func (Reachable) command()   {}
func (Leaving) command()     {}
func (Usage) command()       {}
