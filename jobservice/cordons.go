package jobservice

import (
	"context"
	"time"

	"github.com/guavarill/guavarill/core/cordon"
	"github.com/guavarill/guavarill/core/jobsched"
)

const (
	// cordonInterval is the time between two reads of the cordons where they must be
	// in force within a bound, and unboundedCordonInterval where no bound is set.
	cordonInterval          = 800 * time.Millisecond
	unboundedCordonInterval = 2 * time.Second
	// cordonReadTimeout bounds a read, and cordonRetryDelay is the time until the next
	// one after a failure. With them, one read that fails does not make the known
	// cordons too old for starts where the bound is five seconds.
	cordonReadTimeout = 900 * time.Millisecond
	cordonRetryDelay  = 100 * time.Millisecond
	// maxCordonsUnreadable is how long the leader keeps the lead while it cannot read
	// the cordons and therefore starts nothing: another daemon may be able to.
	maxCordonsUnreadable = 5 * time.Second
)

// cordonPoller reads the cordons of a term and decides when to give up the lead
// because they cannot be read.
type cordonPoller struct {
	// within is how soon a cordon must be in force; 0 if no bound is set.
	within time.Duration
	// readAt is when the last successful read was requested, at first when the term
	// began.
	readAt time.Time
}

// interval returns the time between two reads: a quarter of the bound at most.
func (p *cordonPoller) interval() time.Duration {
	if p.within == 0 {
		return unboundedCordonInterval
	}
	return min(cordonInterval, p.within/4)
}

// givesUp reports whether the cordons have been unreadable for too long to lead.
func (p *cordonPoller) givesUp(now time.Time) bool {
	return p.within > 0 && now.Sub(p.readAt) >= maxCordonsUnreadable
}

// pollCordons periodically reads the zones that the operator has cordoned. It polls
// because a read tells them all as of its request, whatever has become of watches and
// of the store's history, and costs the store no more than a watch does.
func (t *term) pollCordons(ctx context.Context) {
	o := &t.leader.o
	if o.Cordons == nil {
		return
	}
	defer t.leader.noteCordons(nil)
	p := cordonPoller{within: o.Machine.CordonWithin, readAt: o.Clock.Now()}
	for ctx.Err() == nil {
		requestedAt := o.Clock.Now()
		zones, err := t.readCordons(ctx)
		if err == nil {
			p.readAt = requestedAt
			t.leader.noteCordons(&CordonView{Zones: zones, RequestedAt: requestedAt})
			t.postStored(ctx, jobsched.CordonsRead{Zones: zones, RequestedAt: requestedAt})
			Pause(ctx, p.interval())
			continue
		}
		t.leader.log.WithError(err).Debug("cordons not read; retrying")
		if ctx.Err() == nil && p.givesUp(o.Clock.Now()) {
			t.leader.log.WithError(err).Warn("gives up the lead: the cordons cannot be read, and nothing may be started without them")
			t.releaseLead()
			return
		}
		Pause(ctx, cordonRetryDelay)
	}
}

func (t *term) readCordons(ctx context.Context) (cordon.Zones, error) {
	ctx, cancel := context.WithTimeout(ctx, cordonReadTimeout)
	defer cancel()
	return t.leader.o.Cordons.Read(ctx)
}

// CordonView is what a leader knows of the cordoned zones.
type CordonView struct {
	Zones cordon.Zones
	// RequestedAt is when they were last read, by the leader's clock.
	RequestedAt time.Time
}

// noteCordons makes a reading visible to Cordons.
func (l *Leader) noteCordons(v *CordonView) {
	l.cordons.Store(v)
	count := 0
	if v != nil {
		count = len(v.Zones)
	}
	l.o.Metrics.cordonedZones.Set(float64(count))
}

// Cordons returns the cordoned zones by which this daemon starts tasks. The second
// result is false if it does not lead, or has not read them yet in its term.
func (l *Leader) Cordons() (CordonView, bool) {
	if v := l.cordons.Load(); v != nil && l.Leads() {
		return *v, true
	}
	return CordonView{}, false
}
