package jobservice

import (
	"io"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/adapter/logsink"
	"github.com/guavarill/guavarill/core/jobsched"
)

// TestOutcomeOfACommitIsHandledFirst guards against commits that become rare when the
// leader is busy, because their outcomes wait behind the reports of all workers.
func TestOutcomeOfACommitIsHandledFirst(t *testing.T) {
	const reports = 20
	l := NewLeader(Options{Clock: BootClock{}, Log: logsink.NewLogger(io.Discard), Metrics: NewMetrics(prometheus.NewRegistry())})
	term := &term{
		leader: l, machine: jobsched.New(l.o.Clock.Now(), 1, jobsched.Options{}, jobsched.Recovered{}), load: newLoadMonitor(l.o.Metrics),
		events: make(chan queuedEvent, reports), storeEvents: make(chan queuedEvent, 1), commitOutcomes: make(chan queuedEvent, 1),
	}
	for range reports {
		term.events <- newQueuedEvent(jobsched.Renewed{})
	}
	term.commitOutcomes <- newQueuedEvent(committedAt{revision: 7})
	handledBefore := -1
	term.drain(func(queuedEvent) bool {
		handledBefore = term.load.load.events
		return false
	})
	if handledBefore != 0 || term.load.load.events != reports {
		t.Errorf("the outcome of a commit was handled after %d of %d reports, want before any", handledBefore, term.load.load.events)
	}
}
