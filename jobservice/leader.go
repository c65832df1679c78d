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

// Leader campaigns for leadership and schedules jobs while it leads.
type Leader struct {
	o   Options
	log *logrus.Entry
	// deadline is the time, in nanoseconds of the clock, until which the daemon may
	// act as leader; 0 when it does not lead.
	deadline atomic.Int64
	// suspended is the state of a term that ended only because the store was
	// unreachable. The next term reuses it if no other daemon has led in between.
	suspended *term
	// routineLimiter limits the log lines of routine decisions; suppressed counts the
	// lines left out since the last one written. Both belong to the control
	// goroutine.
	routineLimiter *rate.Limiter
	suppressed     int
	// handedOverAt is when the daemon last handed leadership over to a larger one, in
	// nanoseconds of the clock; 0 if it never did.
	handedOverAt atomic.Int64
	// cordons is the last reading of the term, nil before the first and without a term.
	cordons atomic.Pointer[CordonView]
	// queries are functions that the control goroutine runs on the machine.
	queries chan func(*jobsched.Machine)
}

// NewLeader returns a Leader; Run starts it.
func NewLeader(o Options) *Leader {
	if o.FailureDetector == nil {
		o.FailureDetector = noFailureDetector{}
	}
	if o.Machine.RoundBudget == 0 && o.Processors > 0 {
		// Scales the budget so that a round takes the same time on a fraction of a
		// core as on a whole core.
		o.Machine.RoundBudget = max(int(jobsched.DefaultRoundBudget*min(o.Processors, 1)), minRoundBudget)
	}
	if o.Machine.StartsInFlight == 0 && o.Processors > 0 {
		o.Machine.StartsInFlight = max(int(jobsched.DefaultStartsInFlight*min(o.Processors, 1)), minStartsInFlight)
	}
	if o.Machine.LearnBudget == 0 && o.Processors > 0 {
		o.Machine.LearnBudget = max(int(jobsched.DefaultLearnBudget*min(o.Processors, 1)), minLearnBudget)
	}
	return &Leader{
		o: o, log: o.Log.WithField("component", "leader"), routineLimiter: newRoutineLimiter(o.Processors),
		queries: make(chan func(*jobsched.Machine)),
	}
}

// newRoutineLimiter limits the log lines of routine decisions in proportion to the
// daemon's processors.
func newRoutineLimiter(processors float64) *rate.Limiter {
	lines := routineLines
	if processors > 0 {
		lines = max(int(routineLines*min(processors/routineLinesCores, 1)), minRoutineLines)
	}
	return rate.NewLimiter(rate.Limit(lines), 2*lines)
}

// Leads reports whether the daemon currently leads.
func (l *Leader) Leads() bool { return l.mayAct() }

// Run campaigns for leadership and leads until ctx ends, and then releases
// leadership.
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

// term is a period of leadership. It continues under a new lease if the daemon lost
// the lease and no other daemon led before it got another.
type term struct {
	leader *Leader
	lease  port.LeaseID
	// epoch is the store revision at which the daemon became leader.
	epoch   model.Epoch
	machine *jobsched.Machine
	// events receives the responses to the leader's orders, commitOutcomes those to its
	// commits, storeEvents the events read from the store.
	events, commitOutcomes, storeEvents chan queuedEvent
	// load measures what the control goroutine's time goes to.
	load *loadMonitor
	// ledger is the revision of ledgerKey after the last commit of the term.
	ledger int64
	// pending is the commit in flight, or nil.
	pending *jobsched.Commit
	// unreadableJobs holds the jobs whose records cannot be read.
	unreadableJobs *unreadableJobs
	// tombstones holds the known tombstones of jobs.
	tombstones *tombstones
	// jobsRevision is the store revision up to which the machine knows the accepted
	// jobs.
	jobsRevision int64
	// workerCount is the number of workers in the platform's list when it was last
	// read.
	workerCount atomic.Int64
	// end ends the term. handedOver is set when the term ends so that another daemon can
	// lead.
	end        context.CancelFunc
	handedOver atomic.Bool
}

// lead runs a term until the daemon loses leadership or ctx ends.
func (l *Leader) lead(ctx context.Context, t *term) {
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	t.end = cancel
	go l.renewLease(run, t.lease, cancel)
	go t.followJobs(run)
	go t.recheckUnreadableJobs(run)
	go t.removeTombstones(run)
	go t.pollWorkers(run)
	go t.pollCordons(run)
	go t.followConfig(run)
	go t.pollMembers(run)
	l.o.Metrics.leading.Set(1)
	deposed := t.loop(run)
	cancel()
	l.deadline.Store(0)
	l.o.Metrics.leading.Set(0)
	switch {
	case ctx.Err() != nil:
		l.resign(t, "stopped")
	case t.handedOver.Load():
		l.resign(t, "handed over")
	case deposed:
		l.o.Metrics.terms.WithLabelValues("deposed").Inc()
		l.log.WithField("epoch", t.epoch).Warn(joblog.MessageDeposed)
	default:
		l.suspended = t
		l.o.Metrics.terms.WithLabelValues("lease lost").Inc()
		l.log.WithField("epoch", t.epoch).Warn(joblog.MessageLeaseNotRenewed)
	}
}

// resign releases leadership after a last commit, so that another daemon can take
// over at once. No order leaves the daemon from here on, because its right to act has
// already ended.
func (l *Leader) resign(t *term, end string) {
	complete := t.storeFinalCommit()
	l.revoke(t.lease)
	l.o.Metrics.terms.WithLabelValues(end).Inc()
	l.log.WithField("complete", complete).Info(joblog.MessageLeadershipReleased)
}

// mayAct reports whether the daemon's leadership is certainly still valid.
func (l *Leader) mayAct() bool { return l.o.Clock.Now().UnixNano() < l.deadline.Load() }

// extendDeadline extends the leadership after the store has confirmed a grant or a
// renewal of the lease that was sent at sentAt.
func (l *Leader) extendDeadline(sentAt time.Time) {
	until := sentAt.Add(l.o.LeaderTTL - leaseMargin).UnixNano()
	for {
		old := l.deadline.Load()
		if old >= until || l.deadline.CompareAndSwap(old, until) {
			return
		}
	}
}

// renewLease renews the lease until ctx ends, and calls lost when the lease is gone.
// Each renewal runs in its own goroutine, so that one without a response does not
// delay the next.
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
	// A response is useful until the lease ends. With a shorter timeout, a leader
	// that is short of processor time would discard responses that have already
	// arrived.
	call, cancel := context.WithTimeout(ctx, l.o.LeaderTTL)
	defer cancel()
	sentAt := l.o.Clock.Now()
	_, err := l.o.Store.KeepAlive(call, lease)
	switch {
	case err == nil && ctx.Err() == nil:
		l.extendDeadline(sentAt)
	case isKind(err, port.StoreLeaseNotFound):
		l.log.WithField("lease", lease).Warn("the store has ended the lease")
		lost()
	}
}

// revoke revokes a lease. A failure has no effect, because the lease then expires by
// itself.
func (l *Leader) revoke(lease port.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseCallTimeout)
	defer cancel()
	if err := l.o.Store.RevokeLease(ctx, lease); err != nil {
		l.log.WithError(err).Debug("lease not revoked; it will expire")
	}
}

func (l *Leader) get(ctx context.Context, key string) (port.KeyValue, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	return l.o.Store.Get(ctx, key)
}
