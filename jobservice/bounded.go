package jobservice

import (
	"context"

	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// WithTimeouts bounds the time of each order at the daemon that calls the worker,
// which is where a call without an answer is told from one that was answered.
//
// The leader must not take the time of an order that another daemon carries: its
// clock goes on while its processor is busy, and the outcome lies unread. It
// would take workers that are well for silent, and start again what they have
// done.
func WithTimeouts(workers port.TaskWorkers) port.TaskWorkers { return bounded{workers} }

type bounded struct{ workers port.TaskWorkers }

// Renew implements port.TaskWorkers.
func (b bounded) Renew(ctx context.Context, r jobsched.Renew) (jobsched.Verdict, jobsched.Report) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+RenewSlack+ReportTransferTimeout)
	defer cancel()
	return b.workers.Renew(ctx, r)
}

// Start implements port.TaskWorkers.
func (b bounded) Start(ctx context.Context, s jobsched.Start) (jobsched.Verdict, int64) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return b.workers.Start(ctx, s)
}

// Stop implements port.TaskWorkers.
func (b bounded) Stop(ctx context.Context, s jobsched.Stop) jobsched.Verdict {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return b.workers.Stop(ctx, s)
}

// Throttle implements port.TaskWorkers.
func (b bounded) Throttle(ctx context.Context, t jobsched.Throttle) jobsched.Verdict {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return b.workers.Throttle(ctx, t)
}
