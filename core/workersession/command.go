package workersession

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// Command is an output of Session.Step: a call to make or a fact to record.
type Command interface{ command() }

// Send requests one call to the worker's agent. The caller must report its
// result with an Answered of the same ID and must not modify Req.
type Send struct {
	ID      uint64
	Req     *workerv1.ApplyRequest
	Timeout time.Duration
}

// State is the state of an attempt as reported by the agent.
type State uint8

// The states of an attempt. All but StateRunning are final: the attempt is
// certainly over and cannot start again.
const (
	StateRunning State = iota + 1
	StateSucceeded
	StateFailed
	StateStopped
	// StateRefused: the agent refused to start it; Outcome has the reason.
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

// Observed reports a change of an attempt's state at the agent. It is repeated
// after each Desired that does not reflect it yet. A receiver that lost one
// therefore gets it again, and must tolerate repeats.
type Observed struct {
	Attempt model.AttemptKey
	State   State
	// Address is the address at which a running service accepts requests.
	Address string
	// Checkpoint is the checkpoint from which the task can resume after
	// StateStopped.
	Checkpoint string
	// Outcome is set with StateRefused.
	Outcome workerv1.Outcome
	Detail  string
}

// OverReason is the reason why an attempt whose end the agent did not report is
// certainly over.
type OverReason string

// The reasons of Over.
const (
	// LeaseExpired: the upper bound on the end of its lease has passed.
	LeaseExpired OverReason = "lease expired"
	// WorkerRestarted: the agent restarted and lost its tasks.
	WorkerRestarted OverReason = "worker restarted"
	// NotKnown: the agent does not know it and has executed a command to stop
	// it, so that a late copy of a start has no effect.
	NotKnown OverReason = "not known to the worker"
	// Superseded: the agent knows a newer attempt of the task.
	Superseded OverReason = "superseded"
	// NeverSent: no start of it can have been sent to the worker.
	NeverSent OverReason = "never sent"
)

// Over reports that an attempt is certainly over although the agent did not
// report its end. Like Observed, it is repeated until the ledger reflects it.
type Over struct {
	Attempt model.AttemptKey
	Reason  OverReason
}

// Fenced reports that the agent has seen a newer owner, whose epoch is Epoch.
// The session ignores all events from then on.
type Fenced struct{ Epoch model.Epoch }

// Unreachable reports that the agent has not responded since Since. Its tasks
// may still be running.
type Unreachable struct{ Since time.Time }

// Reachable reports that the agent of an unreachable worker responded again.
type Reachable struct{}

// Leaving reports that the agent announced the removal of its VM. It is emitted
// once.
type Leaving struct{}

// Usage is a usage measurement of one running attempt. MeasuredAt is when the
// agent measured it, which is earlier than the response that reports it.
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
