package jobservice

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/joblog"
)

const (
	// slowStep is the duration of a step of the control goroutine from which the
	// leader counts as behind: a round of placement may take 16 ms, and cancellations
	// waited for seconds when steps took 200 ms.
	slowStep = 100 * time.Millisecond
	// caughtUpAfter is how long all steps must have been shorter before the leader
	// counts as having caught up.
	caughtUpAfter = time.Second
)

// stepMonitor detects that the control goroutine falls behind. Events then wait for
// it: cancellations are handled late while their tasks run on, ends of attempts are
// not followed by starts, and leases are not renewed. Nothing else shows it, because
// the daemon still serves callers, and the store and the workers respond.
//
// It belongs to the control goroutine.
type stepMonitor struct {
	log     *logrus.Entry
	metrics *Metrics
	// behindSince is when the first slow step began; zero while the leader keeps up.
	// longest is the duration of the longest step since then, lastSlowAt the end of
	// the last slow one.
	behindSince, lastSlowAt time.Time
	longest                 time.Duration
}

// record takes a step from began to ended, at whose start so many events were
// waiting. A step with a full event buffer counts as slow too.
func (p *stepMonitor) record(began, ended time.Time, waiting int) {
	took := ended.Sub(began)
	p.metrics.stepTime.Observe(took.Seconds())
	p.metrics.eventsWaiting.Set(float64(waiting))
	switch {
	case took >= slowStep || waiting >= eventBuffer:
		p.recordSlow(began, ended, took, waiting)
	case !p.behindSince.IsZero() && ended.Sub(p.lastSlowAt) >= caughtUpAfter:
		p.log.WithFields(logrus.Fields{
			"for": p.lastSlowAt.Sub(p.behindSince).String(), "longestStep": p.longest.String(),
		}).Info(joblog.MessageLeaderCaughtUp)
		p.behindSince, p.longest = time.Time{}, 0
	}
}

func (p *stepMonitor) recordSlow(began, ended time.Time, took time.Duration, waiting int) {
	p.lastSlowAt = ended
	p.longest = max(p.longest, took)
	if p.behindSince.IsZero() {
		p.behindSince = began
		p.log.WithFields(logrus.Fields{"step": took.String(), "events": waiting}).Warn(joblog.MessageLeaderBehind)
	}
}
