package jobservice

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/adapter/logsink"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// deadlineWorkers notes whether an order comes with a deadline.
type deadlineWorkers struct {
	port.TaskWorkers
	bounded bool
}

func (w *deadlineWorkers) Start(ctx context.Context, _ jobsched.Start) (jobsched.Verdict, int64) {
	_, w.bounded = ctx.Deadline()
	return jobsched.VerdictDone, 1
}

func (w *deadlineWorkers) Renew(ctx context.Context, _ jobsched.Renew) (jobsched.Verdict, jobsched.Report) {
	_, w.bounded = ctx.Deadline()
	return jobsched.VerdictDone, jobsched.Report{}
}

// Tasks ran twice under a leader that had a fifth of a core for 350 workers.
// Workers answered in milliseconds and the carriers had their answers at once;
// but the leader's own time for an order, a second, ended while the outcome lay
// unread in its socket. So 2,125 times a worker that was well counted as silent;
// its lease was not renewed, and after 4.8 s what it had done, and reported, was
// started elsewhere. The time of an order is that of the call to the worker, and
// is taken by whoever makes it.
//
// What settled it: the task done at 54.279; "worker silent" at 54.815, "attempt
// lost ... its lease ran out without an answer" at 58.640, "worker answers again
// after 8.081s" at 61.969; steps of the leader took up to 0.85 s.
func TestTheTimeOfAnOrderIsNotTakenByTheLeader(t *testing.T) {
	workers := &deadlineWorkers{}
	l := NewLeader(Options{
		Log: logsink.NewLogger(t.Output()), Metrics: NewMetrics(prometheus.NewRegistry()), Workers: workers, Clock: BootClock{},
	})
	l.deadline.Store(l.o.Clock.Now().Add(time.Minute).UnixNano())
	term := &term{leader: l}
	for _, e := range []jobsched.Effect{jobsched.Start{}, jobsched.Renew{Wait: time.Second}} {
		workers.bounded = false
		term.send(t.Context(), e)
		if workers.bounded {
			t.Errorf("%T was given a deadline by the leader", e)
		}
	}
}
