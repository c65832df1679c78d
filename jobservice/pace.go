package jobservice

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/joblog"
)

const (
	// behindStep is a step of the control goroutine from which the leader counts
	// as behind: a round of placement may take 16 ms, and cancels waited for
	// seconds when steps took 200.
	behindStep = 100 * time.Millisecond
	// caughtUpTime is how long all steps must have been shorter before the
	// leader counts as having caught up.
	caughtUpTime = time.Second
)

// pace notices that the control goroutine falls behind. Then events wait for it:
// cancellations are taken in late and their tasks run on, ends are not followed
// by starts, leases are not renewed. Nothing else shows that: the daemon serves
// callers, the store and the workers answer.
//
// It belongs to the control goroutine.
type pace struct {
	log     *logrus.Entry
	metrics *Metrics
	// behindSince is when the first long step began; zero while the leader keeps
	// up. longest is the longest step since then, slowAt the end of the last
	// long one.
	behindSince, slowAt time.Time
	longest             time.Duration
}

// step takes in a step from began to ended, at whose beginning so many events
// waited. It is a long one also when as many waited as can.
func (p *pace) step(began, ended time.Time, waiting int) {
	took := ended.Sub(began)
	p.metrics.stepTime.Observe(took.Seconds())
	p.metrics.eventsWaiting.Set(float64(waiting))
	switch {
	case took >= behindStep || waiting >= eventBuffer:
		p.slow(began, ended, took, waiting)
	case !p.behindSince.IsZero() && ended.Sub(p.slowAt) >= caughtUpTime:
		p.log.WithFields(logrus.Fields{
			"for": p.slowAt.Sub(p.behindSince).String(), "longestStep": p.longest.String(),
		}).Info(joblog.MessageLeaderCaughtUp)
		p.behindSince, p.longest = time.Time{}, 0
	}
}

func (p *pace) slow(began, ended time.Time, took time.Duration, waiting int) {
	p.slowAt = ended
	p.longest = max(p.longest, took)
	if p.behindSince.IsZero() {
		p.behindSince = began
		p.log.WithFields(logrus.Fields{"step": took.String(), "events": waiting}).Warn(joblog.MessageLeaderBehind)
	}
}
