package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
)

// noteRejecting notes when the forecast for a queue begins to make daemons reject jobs,
// and when it no longer does for pressureHold.
func (m *Machine) noteRejecting(qf *queueForecast) {
	share := qf.meter.Share()
	if share < 1 {
		qf.limitedAt = m.now
	}
	limited := share < 1 || qf.rejecting && m.now.Sub(qf.limitedAt) < pressureHold
	if limited == qf.rejecting {
		return
	}
	qf.rejecting = limited
	decision := joblog.MessageQueueAcceptsAll
	if limited {
		decision = joblog.MessageQueueLimited
	}
	f := &qf.current
	m.emit(Note{Decision: decision, Reason: fmt.Sprintf(
		"queue %s: share %.3f; %.1f cores of work arrive, %.1f are finished; tasks of new jobs wait %s, jobs may take %s; %.1f core-s wait",
		qf.queue.Name, share, float64(f.Arriving)/1000, float64(f.Finishing)/1000, time.Duration(f.DelayMs)*time.Millisecond,
		time.Duration(f.AllowanceMs)*time.Millisecond, coreSeconds(qf.demand.Ahead))})
}
