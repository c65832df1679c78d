package jobservice

import (
	"context"

	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// WithTimeouts bounds the time of each order at the daemon that calls the worker,
// which is the only place where a call without a response can be told from one that
// was answered.
//
// The leader must not bound the time of an order that another daemon relays. Its
// clock continues while its processor is busy and the outcome lies unread in the
// socket. It would treat healthy workers as unreachable, and restart work that they have
// completed.
func WithTimeouts(workers port.TaskWorkers) port.TaskWorkers { return timeoutWorkers{workers} }

type timeoutWorkers struct{ workers port.TaskWorkers }

// Renew implements port.TaskWorkers.
func (b timeoutWorkers) Renew(ctx context.Context, r jobsched.Renew) (jobsched.Verdict, jobsched.Report) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+RenewSlack+ReportTransferTimeout)
	defer cancel()
	return b.workers.Renew(ctx, r)
}

// Start implements port.TaskWorkers.
func (b timeoutWorkers) Start(ctx context.Context, s jobsched.Start) (jobsched.Verdict, int64) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return b.workers.Start(ctx, s)
}

// Stop implements port.TaskWorkers.
func (b timeoutWorkers) Stop(ctx context.Context, s jobsched.Stop) jobsched.Verdict {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return b.workers.Stop(ctx, s)
}

// Throttle implements port.TaskWorkers.
func (b timeoutWorkers) Throttle(ctx context.Context, t jobsched.Throttle) jobsched.Verdict {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return b.workers.Throttle(ctx, t)
}
