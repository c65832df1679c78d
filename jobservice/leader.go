package jobservice

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

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
}

// NewLeader makes a Leader; Run starts it.
func NewLeader(o Options) *Leader {
	return &Leader{
		o: o, log: o.Log.WithField("component", "leader"), routine: rate.NewLimiter(routineLines, routineBurst),
	}
}

// Leads reports whether the daemon leads now.
func (l *Leader) Leads() bool { return l.mayAct() }

// Run stands for the lead until ctx ends, and gives it up then.
func (l *Leader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		t, err := l.campaign(ctx)
		if err != nil {
			l.log.WithError(err).Debug("campaign failed")
			pause(ctx, campaignPause)
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
	events  chan jobsched.Event
	// ledger is the revision of ledgerKey after the last commit of the term.
	ledger  int64
	pending *jobsched.Commit
	// jobsFrom is the store's revision up to which the machine knows the jobs.
	jobsFrom int64
}

// leaderRecord is the value of leaderKey.
type leaderRecord struct {
	Daemon      string `json:"daemon"`
	Incarnation string `json:"incarnation"`
}

// campaign waits until nobody leads and tries to. It returns nil when another
// daemon was faster.
func (l *Leader) campaign(ctx context.Context) (*term, error) {
	held, err := l.awaitVacancy(ctx)
	if err != nil {
		return nil, err
	}
	lease, grantedAt, err := l.grant(ctx)
	if err != nil {
		return nil, err
	}
	won, err := l.acquire(ctx, lease, held)
	if err != nil || won == 0 {
		l.revoke(lease)
		return nil, err
	}
	l.extend(grantedAt)
	l.log.WithFields(logrus.Fields{"epoch": won, "lease": lease}).Info("leads")
	return l.take(ctx, lease, won)
}

// awaitVacancy returns when the leader's key is free, or belongs to an earlier
// process of this daemon, which is gone for certain: then its revision.
func (l *Leader) awaitVacancy(ctx context.Context) (int64, error) {
	for {
		kv, err := l.get(ctx, leaderKey)
		if err != nil {
			return 0, err
		}
		if kv.ModRevision == 0 {
			l.giveWay(ctx)
			return 0, nil
		}
		var holder leaderRecord
		if err := json.Unmarshal(kv.Value, &holder); err != nil {
			l.log.WithError(err).Warn("leader's key cannot be read; waiting for its lease to end")
		}
		if holder.Daemon == l.o.Daemon {
			return kv.ModRevision, nil
		}
		l.awaitChange(ctx, kv.ModRevision)
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
}

// giveWay waits a moment, so that a daemon with more processors takes the lead
// first, and not all at once ask for it.
func (l *Leader) giveWay(ctx context.Context) {
	delay := min(time.Duration(float64(campaignDelay)/max(l.o.Processors, 0.01)), campaignDelayMost)
	pause(ctx, delay+time.Duration(rand.Int64N(int64(campaignDelay))))
}

// awaitChange returns when the leader's key has changed, or is to be read again.
func (l *Leader) awaitChange(ctx context.Context, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, leaderPoll)
	defer cancel()
	events, err := l.o.Store.Watch(ctx, leaderKey, revision)
	if err != nil {
		pause(ctx, campaignPause)
		return
	}
	for ev := range events {
		if ev.Err != nil {
			pause(ctx, campaignPause)
			return
		}
		if ev.Deleted {
			return
		}
	}
}

func (l *Leader) grant(ctx context.Context) (port.LeaseID, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	at := l.o.Clock.Now()
	lease, err := l.o.Store.GrantLease(ctx, l.o.LeaderTTL)
	return lease, at, err
}

// acquire takes the lead and returns the revision at which it did, or 0 when
// another daemon has it. held is the revision of a key that it may replace.
// The ledger's key is written with it, so that no commit of an earlier leader
// can be carried out any more.
func (l *Leader) acquire(ctx context.Context, lease port.LeaseID, held int64) (int64, error) {
	record := encodeRecord(leaderRecord{Daemon: l.o.Daemon, Incarnation: l.o.Incarnation})
	conditions := []port.Condition{{Key: leaderKey, Kind: port.CompareModRevision, Revision: held}}
	ledger, err := l.get(ctx, ledgerKey)
	if err != nil {
		return 0, err
	}
	conditions = append(conditions, port.Condition{
		Key: ledgerKey, Kind: port.CompareModRevision, Revision: ledger.ModRevision,
	})
	value := ledger.Value
	if value == nil {
		value = encodeRecord(ledgerRecord{})
	}
	changes := []port.Op{
		{Key: leaderKey, Value: record, Lease: lease},
		{Key: ledgerKey, Value: value},
	}
	if l.kept != nil && l.kept.ledger != ledger.ModRevision {
		l.log.Info("another daemon has led meanwhile; state is read anew")
		l.kept = nil
	}
	call, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	result, err := l.o.Store.Txn(call, conditions, changes)
	if err == nil {
		if !result.Succeeded {
			return 0, nil
		}
		return result.Revision, nil
	}
	return l.acquiredAfterAll(ctx, lease, err)
}

// acquiredAfterAll finds out whether an acquisition without an answer was made.
func (l *Leader) acquiredAfterAll(ctx context.Context, lease port.LeaseID, cause error) (int64, error) {
	if NotDone(cause) {
		return 0, cause
	}
	kv, err := l.get(ctx, leaderKey)
	if err != nil {
		return 0, err
	}
	if kv.ModRevision != 0 && kv.Lease == lease {
		return kv.ModRevision, nil
	}
	return 0, cause
}

// take makes the term, of the kept state where that is still good.
func (l *Leader) take(ctx context.Context, lease port.LeaseID, revision int64) (*term, error) {
	if t := l.kept; t != nil {
		l.kept = nil
		t.lease, t.epoch, t.ledger = lease, model.Epoch(revision), revision
		t.machine.Resume(l.o.Clock.Now(), t.epoch)
		l.log.WithField("epoch", revision).Info("goes on with the state it had")
		return t, nil
	}
	t := &term{
		leader: l, lease: lease, epoch: model.Epoch(revision), ledger: revision,
		events: make(chan jobsched.Event, eventBuffer),
	}
	renewing, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.renewLease(renewing, t.lease, func() {})
	if err := t.recover(ctx); err != nil {
		l.deadline.Store(0)
		l.revoke(lease)
		return nil, err
	}
	return t, nil
}

// lead runs a term until the right to lead is lost or ctx ends.
func (l *Leader) lead(ctx context.Context, t *term) {
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.renewLease(run, t.lease, cancel)
	go t.followJobs(run)
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
		t.finish()
		l.revoke(t.lease)
		l.o.Metrics.terms.WithLabelValues("stopped").Inc()
		l.log.Info("gave the lead up")
	case deposed:
		l.o.Metrics.terms.WithLabelValues("deposed").Inc()
		l.log.WithField("epoch", t.epoch).Warn("lost the lead to another daemon")
	default:
		l.kept = t
		l.o.Metrics.terms.WithLabelValues("lease lost").Inc()
		l.log.WithField("epoch", t.epoch).Warn("lost the lead: the store did not renew the lease")
	}
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
	call, cancel := context.WithTimeout(ctx, leaseCallTimeout)
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
