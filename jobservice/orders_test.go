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

// deadlineWorkers records whether an order comes with a deadline.
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

// TestTheTimeOfAnOrderIsNotTakenByTheLeader guards against tasks that run twice
// because the leader bounds the time of orders. While it is short of processor time,
// outcomes lie unread, and healthy workers would count as unreachable; the daemon
// that calls the worker bounds the call.
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
