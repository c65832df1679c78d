package worker

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// defaultSampleEvery is the time between two measurements of usage.
const defaultSampleEvery = time.Second

// Options describe a worker. Clock is needed; other zero fields take their
// defaults.
type Options struct {
	ID       model.WorkerID
	Capacity model.Resources
	// Clock is the agent's own clock, by which grants and leases count.
	Clock port.Clock
	// RecordClock gives the times in the record of runs; nil means Clock. It
	// matters only when agents' clocks differ.
	RecordClock port.Clock
	// UsageLag is the age of the measurements in reports.
	UsageLag time.Duration
	// SampleEvery is the time between two measurements; 0 means one second.
	SampleEvery time.Duration
	// CheckpointTime is how long a checkpoint takes.
	CheckpointTime time.Duration
	// Pairs slow tasks down by what else runs on the worker.
	Pairs Pairs
	// Behave decides how a task runs; nil means DefaultBehaviour.
	Behave func(*workerv1.Start) Behaviour
	// StartService starts an instance of a service and returns where it takes
	// requests and how to end it; stop must return only when the instance
	// takes none any more. Both are called while the agent is locked. With nil
	// a service gets an address at which nothing listens.
	StartService func(*workerv1.Start) (address string, stop func())
	// Flaws leave out parts of the protocol, so that a test can show that it
	// would notice.
	Flaws Flaws
}

// Flaws are parts of the protocol that an agent can be made to neglect.
type Flaws struct {
	// LeaseFromReceipt counts leases from the receipt of a message.
	LeaseFromReceipt bool
	// IgnoreEpoch obeys every owner.
	IgnoreEpoch bool
	// ForgetStops keeps no memory of attempts that were stopped before they
	// came, or forgotten.
	ForgetStops bool
	// RenewOnMismatch renews all that runs when the hash does not match.
	RenewOnMismatch bool
	// NoRenewHash leaves out what was added with renew_hash, as an agent of
	// before does. Nothing may come of it.
	NoRenewHash bool
}

// Behaviour is how a task runs.
type Behaviour struct {
	// Run is how long the task takes alone on the worker; 0 is for ever.
	Run time.Duration
	// Fail makes it fail at the end of Run.
	Fail   bool
	Detail string
	// Usage is what it is measured to use.
	Usage model.Resources
}

// DefaultBehaviour runs a batch task for its run_millis, a service for ever,
// and uses what was committed.
func DefaultBehaviour(start *workerv1.Start) Behaviour {
	b := Behaviour{Usage: sizeOf(start)}
	if !start.GetService() {
		b.Run = time.Duration(start.GetRunMillis()) * time.Millisecond
	}
	return b
}

// Pair names the class of a task and that of one beside it.
type Pair struct{ Victim, Noisy string }

// Pairs gives, for a pair of classes, how much longer the victim takes for
// each task of the noisy class beside it: 0.5 is half as long again. A
// throttled task slows others by its share of the throttle.
type Pairs map[Pair]float64

func sizeOf(start *workerv1.Start) model.Resources {
	return model.Resources{
		MilliCPU:     start.GetMilliCpu(),
		MemoryMB:     start.GetMemoryMb(),
		Accelerators: start.GetAccelerators(),
	}
}
