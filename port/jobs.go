package port

import (
	"context"
	"fmt"

	"github.com/guavarill/guavarill/core/cordon"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
)

// TaskWorkers sends orders to the workers that run the tasks of jobs. The calls
// return no errors: a failure is reported as a verdict, and a lost response as
// VerdictUnknown.
//
// An order for a worker whose start time is known reaches no other incarnation than that
// one. If another one is there, the verdict is VerdictOtherIncarnation, and for a renewal
// VerdictDone with the report of the other one.
type TaskWorkers interface {
	Renew(ctx context.Context, r jobsched.Renew) (jobsched.Verdict, jobsched.Report)
	// Start also returns the worker's clock in milliseconds, or 0 if the worker did
	// not report it.
	Start(ctx context.Context, s jobsched.Start) (jobsched.Verdict, int64)
	Stop(ctx context.Context, s jobsched.Stop) jobsched.Verdict
	Throttle(ctx context.Context, t jobsched.Throttle) jobsched.Verdict
}

// WorkerList reads the platform's list of workers. Its errors are
// *WorkerListError.
type WorkerList interface {
	// List reads the whole list. When it has read a part that is not the last, it calls
	// onPart with the valid entries of that part.
	List(ctx context.Context, onPart func([]jobsched.WorkerEntry)) (jobsched.WorkersListed, error)
}

// CordonReader reads the availability zones that the operator has cordoned, at least
// all that were cordoned before the call. Its errors are *CordonError.
type CordonReader interface {
	Read(ctx context.Context) (cordon.Zones, error)
}

// Advisor asks the advice service which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, a jobsched.Advise) jobsched.Advised
}

// ConfigFeed provides the operator's configuration.
type ConfigFeed interface {
	// Current returns the newest version that has been read, or nil if none has.
	Current() *job.Config
	// Changed returns a channel that is closed when a version newer than the
	// current one has been read.
	Changed() <-chan struct{}
}

// CordonError is a failure to read the cordoned zones.
type CordonError struct{ Cause error }

// Error implements error.
func (e *CordonError) Error() string { return fmt.Sprintf("cordoned zones: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CordonError) Unwrap() error { return e.Cause }

// WorkerListError is a failure to read the platform's list of workers.
type WorkerListError struct{ Cause error }

// Error implements error.
func (e *WorkerListError) Error() string { return fmt.Sprintf("list of workers: %v", e.Cause) }

// Unwrap returns the cause.
func (e *WorkerListError) Unwrap() error { return e.Cause }
