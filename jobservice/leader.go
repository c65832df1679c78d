package jobservice

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// Leader stands for the lead and, while it has it, schedules.
type Leader struct {
	o   Options
	log *logrus.Entry
	// deadline is until when the daemon may act as leader, in nanoseconds of
	// the clock; 0 when it does not lead.
	deadline atomic.Int64
	// kept is the state of a term that ended only because the store was out of
	// reach. It is good for the next term if nobody has led between.
	kept *term
	// routine bounds the lines of routine decisions, leftOut counts those that
	// were left out since the last line. Both belong to the control goroutine.
	routine *rate.Limiter
	leftOut int
	// handedOverAt is when the daemon gave the lead up to a larger one last, in
	// nanoseconds of the clock; 0 if it never did.
	handedOverAt atomic.Int64
	// questions are put to the machine by its control goroutine.
	questions chan func(*jobsched.Machine)
}

// NewLeader makes a Leader; Run starts it.
func NewLeader(o Options) *Leader {
	if o.FailureDetector == nil {
		o.FailureDetector = deaf{}
	}
	if o.Machine.RoundBudget == 0 && o.Processors > 0 {
		// A round takes as long on a part of a core as on a whole one.
		o.Machine.RoundBudget = max(int(jobsched.DefaultRoundBudget*min(o.Processors, 1)), leastRoundLooks)
	}
	if o.Machine.StartsInFlight == 0 && o.Processors > 0 {
		o.Machine.StartsInFlight = max(int(jobsched.DefaultStartsInFlight*min(o.Processors, 1)), leastStartsInFlight)
	}
	return &Leader{
		o: o, log: o.Log.WithField("component", "leader"), routine: newRoutineLimiter(o.Processors),
		questions: make(chan func(*jobsched.Machine)),
	}
}

// newRoutineLimiter bounds the lines of routine decisions by the daemon's
// processors.
func newRoutineLimiter(processors float64) *rate.Limiter {
	lines := routineLines
	if processors > 0 {
		lines = max(int(routineLines*min(processors/routineLinesCores, 1)), leastRoutineLines)
	}
	return rate.NewLimiter(rate.Limit(lines), 2*lines)
}

// Leads reports whether the daemon leads now.
func (l *Leader) Leads() bool { return l.mayAct() }

// Run stands for the lead until ctx ends, and gives it up then.
func (l *Leader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		t, err := l.campaign(ctx)
		if err != nil {
			l.log.WithError(err).Debug("campaign failed")
			Pause(ctx, campaignPause)
			continue
		}
		if t != nil {
			l.lead(ctx, t)
		}
	}
}

// term is one stretch of leading, or several without another leader between.
type term struct {
	leader *Leader
	lease  port.LeaseID
	// epoch is the revision at which the daemon took the lead.
	epoch   model.Epoch
	machine *jobsched.Machine
	// events are answers to the leader's orders and commits, stored is what was
	// read from the store.
	events, stored chan jobsched.Event
	// ledger is the revision of ledgerKey after the last commit of the term.
	ledger  int64
	pending *jobsched.Commit
	// aside holds the jobs whose records cannot be read.
	aside *asideSet
	// jobsFrom is the store's revision up to which the machine knows the jobs.
	jobsFrom int64
	// listed is how many workers the platform's list had last.
	listed atomic.Int64
	// end ends the term; handedOver is set when that is for another daemon.
	end        context.CancelFunc
	handedOver atomic.Bool
}

// lead runs a term until the right to lead is lost or ctx ends.
func (l *Leader) lead(ctx context.Context, t *term) {
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	t.end = cancel
	go l.renewLease(run, t.lease, cancel)
	go t.followJobs(run)
	go t.followAside(run)
	go t.followWorkers(run)
	go t.followConfig(run)
	go t.followMembers(run)
	l.o.Metrics.leading.Set(1)
	deposed := t.loop(run)
	cancel()
	l.deadline.Store(0)
	l.o.Metrics.leading.Set(0)
	switch {
	case ctx.Err() != nil:
		l.giveUp(t, "stopped")
	case t.handedOver.Load():
		l.giveUp(t, "handed over")
	case deposed:
		l.o.Metrics.terms.WithLabelValues("deposed").Inc()
		l.log.WithField("epoch", t.epoch).Warn(joblog.MessageDeposed)
	default:
		l.kept = t
		l.o.Metrics.terms.WithLabelValues("lease lost").Inc()
		l.log.WithField("epoch", t.epoch).Warn(joblog.MessageLeaseNotRenewed)
	}
}

// giveUp gives the lead up after a last commit, so that it is free at once. No
// order leaves the daemon from here on: its right to act has ended.
func (l *Leader) giveUp(t *term, end string) {
	complete := t.finish()
	l.revoke(t.lease)
	l.o.Metrics.terms.WithLabelValues(end).Inc()
	l.log.WithField("complete", complete).Info(joblog.MessageLeadershipReleased)
}

// mayAct reports whether the daemon's right to lead is certainly valid.
func (l *Leader) mayAct() bool { return l.o.Clock.Now().UnixNano() < l.deadline.Load() }

// extend moves the end of the right after the store has taken a call, sent at
// sentAt, that set the lease.
func (l *Leader) extend(sentAt time.Time) {
	until := sentAt.Add(l.o.LeaderTTL - leaseMargin).UnixNano()
	for {
		old := l.deadline.Load()
		if old >= until || l.deadline.CompareAndSwap(old, until) {
			return
		}
	}
}

// renewLease renews the lease until ctx ends, and calls lost when it is gone.
// Each renewal has its own goroutine, so that one without an answer does not
// hold up the next.
func (l *Leader) renewLease(ctx context.Context, lease port.LeaseID, lost func()) {
	ticker := time.NewTicker(l.o.LeaderTTL / renewalsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go l.renewOnce(ctx, lease, lost)
		}
	}
}

func (l *Leader) renewOnce(ctx context.Context, lease port.LeaseID, lost func()) {
	// An answer is of use until the lease ends: with less time a leader that is
	// short of processor time gives up answers that have come.
	call, cancel := context.WithTimeout(ctx, l.o.LeaderTTL)
	defer cancel()
	sentAt := l.o.Clock.Now()
	_, err := l.o.Store.KeepAlive(call, lease)
	switch {
	case err == nil && ctx.Err() == nil:
		l.extend(sentAt)
	case isKind(err, port.StoreLeaseGone):
		l.log.WithField("lease", lease).Warn("the store has ended the lease")
		lost()
	}
}

// revoke ends a lease. A failure is of no consequence: the lease ends anyway.
func (l *Leader) revoke(lease port.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseCallTimeout)
	defer cancel()
	if err := l.o.Store.RevokeLease(ctx, lease); err != nil {
		l.log.WithError(err).Debug("lease was not revoked; it ends by itself")
	}
}

func (l *Leader) get(ctx context.Context, key string) (port.KeyValue, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	return l.o.Store.Get(ctx, key)
}
