package jobservice

import (
	"context"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
)

const (
	// OrderTimeout bounds an order to a worker. Workers answer in milliseconds;
	// an order that hangs is barred and the task goes elsewhere.
	OrderTimeout = time.Second
	// RenewSlack is what the answer to a renewal may take to begin beyond the wait that
	// it allows, and ReportTransfer what the report may take from there: that of a worker
	// with 500 ends to tell has 35 kB, and other workers' come beside it.
	RenewSlack            = 700 * time.Millisecond
	ReportTransferTimeout = 2 * time.Second
	// adviceTimeout bounds a call for advice, which takes some hundred
	// milliseconds and waits in turn behind others.
	adviceTimeout = 4 * time.Second
)

// order sends an order in the background and posts its answer. The answer is
// posted also when the term has ended, for the term may go on.
func (t *term) order(ctx context.Context, e jobsched.Effect) {
	go func() {
		ev := t.send(context.WithoutCancel(ctx), e)
		t.events <- ev
	}()
}

// send sends an order if the daemon still leads, and returns the event that
// tells of it. Whoever calls the worker bounds the time, see Bounded.
func (t *term) send(ctx context.Context, e jobsched.Effect) jobsched.Event {
	leads := t.leader.mayAct()
	switch e := e.(type) {
	case jobsched.Renew:
		return t.renew(ctx, e, leads)
	case jobsched.Start:
		ev := jobsched.Started{AttemptName: name(e.Order, e.Key, e.Attempt), Verdict: jobsched.VerdictNotSent}
		if leads {
			defer t.measure("start", time.Now(), &ev.Verdict)
			ev.Verdict, ev.ClockMs = t.leader.o.Workers.Start(ctx, e)
		}
		return ev
	case jobsched.Stop:
		ev := jobsched.Stopped{AttemptName: name(e.Order, e.Key, e.Attempt), Verdict: jobsched.VerdictNotSent}
		if leads {
			defer t.measure("stop", time.Now(), &ev.Verdict)
			ev.Verdict = t.leader.o.Workers.Stop(ctx, e)
		}
		return ev
	case jobsched.Throttle:
		ev := jobsched.Throttled{
			AttemptName: name(e.Order, e.Key, e.Attempt), Percent: e.Percent, Verdict: jobsched.VerdictNotSent,
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

// measure counts an order that was sent at began.
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

func name(o jobsched.Order, key job.TaskKey, attempt int) jobsched.AttemptName {
	return jobsched.AttemptName{Worker: o.Worker, Key: key, Attempt: attempt}
}
