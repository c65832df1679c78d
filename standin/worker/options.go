package worker

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// defaultSampleEvery is the time between two measurements of usage.
const defaultSampleEvery = time.Second

// Options describe a worker. Clock is required; other zero fields take their
// defaults.
type Options struct {
	ID       model.WorkerID
	Capacity model.Resources
	// Clock is the agent's own clock, on which grants and leases are measured.
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
	// Pairs determines how much tasks on the worker slow each other down.
	Pairs Pairs
	// Behave decides how a task runs; nil means DefaultBehaviour.
	Behave func(*workerv1.Start) Behaviour
	// StartService starts an instance of a service and returns the address at
	// which it accepts requests and a function that stops it. stop must return
	// only when the instance accepts no more requests. Both are called while the
	// agent is locked. If StartService is nil, a service gets an address at which
	// nothing listens.
	StartService func(*workerv1.Start) (address string, stop func())
	// Flaws are deviations from the protocol, with which a test can show that it
	// detects them.
	Flaws Flaws
}

// Flaws are the deviations from the protocol that an agent can be given.
type Flaws struct {
	// LeaseFromReceipt measures leases from the receipt of a message instead of
	// from the grant.
	LeaseFromReceipt bool
	// IgnoreEpoch executes the requests of every owner, also those with a stale
	// epoch.
	IgnoreEpoch bool
	// ForgetStops keeps no record of attempts whose Stop arrived before their
	// Start, or that were forgotten.
	ForgetStops bool
	// RenewOnMismatch renews all attempts of the agent's set although the hash
	// does not match.
	RenewOnMismatch bool
	// NoRenewHash ignores renew_hash and the fields that belong to it, like an
	// agent of an earlier version. Owners must be correct with such agents.
	NoRenewHash bool
}

// Behaviour is how a task runs.
type Behaviour struct {
	// Run is how long the task takes alone on the worker; 0 means that it never
	// ends by itself.
	Run time.Duration
	// Fail makes it fail at the end of Run.
	Fail   bool
	Detail string
	// Usage is the usage that measurements of the task show.
	Usage model.Resources
}

// DefaultBehaviour returns the behaviour of a task that uses what was committed
// to it. A batch task runs for its run_millis; a service never ends by itself.
func DefaultBehaviour(start *workerv1.Start) Behaviour {
	b := Behaviour{Usage: sizeOf(start)}
	if !start.GetService() {
		b.Run = time.Duration(start.GetRunMillis()) * time.Millisecond
	}
	return b
}

// Pair is the class of a task and the class of another task on the same worker.
type Pair struct{ Victim, Noisy string }

// Pairs gives, for a pair of classes, by which part of its run time the victim is
// slowed down for each task of the noisy class on the same worker: 0.5 means 1.5
// times the run time. The slowdown by a throttled task is proportional to its
// throttle.
type Pairs map[Pair]float64

func sizeOf(start *workerv1.Start) model.Resources {
	return model.Resources{
		MilliCPU:     start.GetMilliCpu(),
		MemoryMB:     start.GetMemoryMb(),
		Accelerators: start.GetAccelerators(),
	}
}
