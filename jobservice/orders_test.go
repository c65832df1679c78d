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

// Guards against tasks that run twice because the leader bounds the time of orders.
// With a fifth of a core for 350 workers, steps of the leader took up to 0.85 s.
// Workers responded within milliseconds and the relays had their responses at once,
// but the leader's own timeout for an order, 1 s, expired while the outcome lay
// unread in its socket. 2,125 times a healthy worker counted as unreachable; its lease was
// not renewed, and after 4.8 s work that it had completed and reported was started
// elsewhere. The time of an order is that of the call to the worker, and is bounded
// by the daemon that makes it.
//
// In one such case the task was done at 54.279 s. The log had "worker silent" at
// 54.815, "attempt lost ... its lease ran out without an answer" at 58.640 and
// "worker answers again after 8.081s" at 61.969.
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
