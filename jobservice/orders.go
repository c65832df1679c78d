package jobservice

import (
	"context"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
)

const (
	// OrderTimeout bounds an order to a worker. Workers respond within milliseconds;
	// an order without a response is barred there, and the task is started elsewhere.
	OrderTimeout = time.Second
	// RenewSlack is how long the response to a renewal may take to begin beyond the
	// wait that the renewal permits, and ReportTransferTimeout how long the report
	// may take from then on: that of a worker with 500 unacknowledged ends has 35 kB,
	// and shares the link with the reports of other workers.
	RenewSlack            = 700 * time.Millisecond
	ReportTransferTimeout = 2 * time.Second
	// adviceTimeout bounds a call for advice, which takes some hundred milliseconds
	// and queues behind other calls.
	adviceTimeout = 4 * time.Second
)

// dispatch sends an order in the background and posts its outcome. The outcome is
// posted even if the term has ended, because the term may continue.
func (t *term) dispatch(ctx context.Context, e jobsched.Effect) {
	go func() {
		ev := t.send(context.WithoutCancel(ctx), e)
		t.events <- newQueuedEvent(ev)
	}()
}

// send sends an order if the daemon still leads, and returns the event with its
// outcome. The daemon that calls the worker bounds the time; see WithTimeouts.
func (t *term) send(ctx context.Context, e jobsched.Effect) jobsched.Event {
	leads := t.leader.mayAct()
	switch e := e.(type) {
	case jobsched.Renew:
		return t.renew(ctx, e, leads)
	case jobsched.Start:
		ev := jobsched.Started{AttemptName: attemptName(e.Order, e.Key, e.Attempt), Verdict: jobsched.VerdictNotSent}
		if leads {
			defer t.measure("start", time.Now(), &ev.Verdict)
			ev.Verdict, ev.ClockMs = t.leader.o.Workers.Start(ctx, e)
		}
		return ev
	case jobsched.Stop:
		ev := jobsched.Stopped{AttemptName: attemptName(e.Order, e.Key, e.Attempt), Verdict: jobsched.VerdictNotSent}
		if leads {
			defer t.measure("stop", time.Now(), &ev.Verdict)
			ev.Verdict = t.leader.o.Workers.Stop(ctx, e)
		}
		return ev
	case jobsched.Throttle:
		ev := jobsched.Throttled{
			AttemptName: attemptName(e.Order, e.Key, e.Attempt), Percent: e.Percent, Verdict: jobsched.VerdictNotSent,
		}
		if leads {
			defer t.measure("throttle", time.Now(), &ev.Verdict)
			ev.Verdict = t.leader.o.Workers.Throttle(ctx, e)
		}
		return ev
	case jobsched.Advise:
		ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		return t.leader.o.Advisor.Advise(ctx, e)
	}
	return nil
}

// measure counts an order that was sent at began, and the time that it took.
func (t *term) measure(kind string, began time.Time, verdict *jobsched.Verdict) {
	m := t.leader.o.Metrics
	m.orders.WithLabelValues(kind, verdict.String()).Inc()
	m.orderTime.WithLabelValues(kind).Observe(time.Since(began).Seconds())
}

func (t *term) renew(ctx context.Context, e jobsched.Renew, leads bool) jobsched.Event {
	ev := jobsched.Renewed{Worker: e.Worker, SentAt: t.leader.o.Clock.Now(), Verdict: jobsched.VerdictNotSent}
	if leads {
		ev.Verdict, ev.Report = t.leader.o.Workers.Renew(ctx, e)
		t.leader.o.Metrics.orders.WithLabelValues("renew", ev.Verdict.String()).Inc()
	}
	return ev
}

func attemptName(o jobsched.Order, key job.TaskKey, attempt int) jobsched.AttemptName {
	return jobsched.AttemptName{Worker: o.Worker, Key: key, Attempt: attempt}
}
