package jobservice

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// leaderRecord is the value of leaderKey.
type leaderRecord struct {
	Daemon      string `json:"daemon"`
	Incarnation string `json:"incarnation"`
	// Address is where the daemon serves its peers.
	Address string `json:"address,omitempty"`
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
	won, earlier, err := l.acquire(ctx, lease, held)
	if err != nil || won == 0 {
		l.revoke(lease)
		return nil, err
	}
	l.extend(grantedAt)
	l.log.WithFields(logrus.Fields{"epoch": won, "lease": lease}).Info(joblog.MessageLeadershipAcquired)
	return l.take(ctx, lease, won, earlier)
}

// awaitVacancy returns when the leader's key is free, or belongs to no living
// leader: then its revision, under which it may be replaced. That is a key
//
//   - of an earlier process of this daemon, which is gone for certain;
//   - that hangs on no lease. A leader writes it under its lease alone, so it was
//     not written by one. It would never go by itself, and nobody would lead. One
//     notices by a leader's key whose lease is 0. Should another writer have put
//     it over the key of a leader that is at work, that leader is deposed as in
//     any take-over: the ledger's key is written with the leader's, and workers
//     refuse its epoch.
//
// A key that cannot be read and hangs on a lease may be a living leader's: it is
// waited for until the lease ends.
func (l *Leader) awaitVacancy(ctx context.Context) (int64, error) {
	for {
		kv, revision, err := l.readLeader(ctx)
		if err != nil {
			return 0, err
		}
		if kv.ModRevision == 0 {
			l.giveWay(ctx)
			return 0, nil
		}
		holder, err := decodeLeader(kv.Value)
		switch {
		case kv.Lease == 0:
			l.o.Metrics.ReportUnreadable(l.log, kindLeader, kv, cmp.Or(err, error(&NoLeaseError{Holder: holder.Daemon})),
				"it hangs on no lease, belongs to no leader and is replaced")
			return kv.ModRevision, nil
		case err != nil:
			l.o.Metrics.ReportUnreadable(l.log, kindLeader, kv, err, "its lease is waited for")
		case holder.Daemon == l.o.Daemon:
			return kv.ModRevision, nil
		}
		l.awaitChange(ctx, kv, revision, holder)
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
}

// readLeader reads the leader's key, and the store's revision at that time.
func (l *Leader) readLeader(ctx context.Context) (port.KeyValue, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	found, revision, err := l.o.Store.List(ctx, leaderKey)
	if err != nil {
		return port.KeyValue{}, 0, err
	}
	for _, kv := range found {
		if kv.Key == leaderKey {
			return kv, revision, nil
		}
	}
	return port.KeyValue{Key: leaderKey}, revision, nil
}

// NoLeaseError is a leader's key that hangs on no lease.
type NoLeaseError struct{ Holder string }

// Error implements error.
func (e *NoLeaseError) Error() string {
	return fmt.Sprintf("the leader's key names %s and hangs on no lease", e.Holder)
}

// decodeLeader reads the value of leaderKey. An error is a *job.RecordError; the
// record is empty then, whatever part of it could be read.
func decodeLeader(data []byte) (leaderRecord, error) {
	var r leaderRecord
	if err := job.DecodeRecord(kindLeader, data, &r); err != nil {
		return leaderRecord{}, err
	}
	if r.Daemon == "" {
		return leaderRecord{}, &job.RecordError{Kind: kindLeader, Cause: &job.InvalidError{Field: "daemon", Reason: "must not be empty"}}
	}
	return r, nil
}

// giveWay waits a moment, so that a daemon with more processors takes the lead
// first, and not all at once ask for it.
func (l *Leader) giveWay(ctx context.Context) {
	delay := min(time.Duration(float64(campaignDelay)/max(l.o.Processors, 0.01)), campaignDelayMost)
	Pause(ctx, delay+time.Duration(rand.Int64N(int64(campaignDelay))))
}

// awaitChange returns when the leader's key has changed, or is to be read again.
// It was read at the store's revision given. The watch goes on from there and not
// from the revision of the key: once a leader has led for longer than the store
// keeps its history, a watch from its beginning is refused, and each follower would
// read the key ten times a second for the rest of the term.
func (l *Leader) awaitChange(ctx context.Context, key port.KeyValue, revision int64, holder leaderRecord) {
	ctx, cancel := context.WithTimeout(ctx, leaderPoll)
	defer cancel()
	events, err := l.o.Store.Watch(ctx, leaderKey, revision)
	if err != nil {
		Pause(ctx, campaignPause)
		return
	}
	for {
		select {
		case ev, open := <-events:
			if ev.Err != nil {
				Pause(ctx, campaignPause)
			}
			if !open || ev.Err != nil || ev.Deleted {
				return
			}
		case <-l.o.FailureDetector.ConnectionLost():
			if l.endLeaseIfGone(ctx, key, holder) {
				return
			}
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
// another daemon has it, and the ledger as the leader before left it. held is the
// revision of a key that it may replace. The ledger's key is written with it, so
// that no commit of an earlier leader can be carried out any more. What it says
// stays as it was until the first commit of this leader, which comes before its
// first start: should it be lost before, the roster's statements still stand.
func (l *Leader) acquire(ctx context.Context, lease port.LeaseID, held int64) (int64, ledgerRecord, error) {
	record := encodeRecord(leaderRecord{Daemon: l.o.Daemon, Incarnation: l.o.Incarnation, Address: l.o.Address})
	conditions := []port.Condition{{Key: leaderKey, Kind: port.CompareModRevision, Revision: held}}
	ledger, err := l.get(ctx, ledgerKey)
	if err != nil {
		return 0, ledgerRecord{}, err
	}
	conditions = append(conditions, port.Condition{
		Key: ledgerKey, Kind: port.CompareModRevision, Revision: ledger.ModRevision,
	})
	value := ledger.Value
	earlier, err := decodeLedger(ledger)
	if err != nil {
		l.o.Metrics.ReportUnreadable(l.log, kindLedger, ledger, err, "it is written anew, and counts are not known until then")
		value = nil
	}
	if len(value) == 0 {
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
			return 0, earlier, nil
		}
		return result.Revision, earlier, nil
	}
	revision, err := l.acquiredAfterAll(ctx, lease, err)
	return revision, earlier, err
}

// acquiredAfterAll finds out whether an acquisition without an answer was made.
func (l *Leader) acquiredAfterAll(ctx context.Context, lease port.LeaseID, cause error) (int64, error) {
	if IsNotDone(cause) {
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
// earlier is the ledger that the leader before left.
func (l *Leader) take(ctx context.Context, lease port.LeaseID, revision int64, earlier ledgerRecord) (*term, error) {
	if t := l.kept; t != nil {
		l.kept = nil
		t.lease, t.epoch, t.ledger = lease, model.Epoch(revision), revision
		t.machine.Resume(l.o.Clock.Now(), t.epoch)
		l.log.WithField("epoch", revision).Info(joblog.MessageLeadershipContinued)
		return t, nil
	}
	t := &term{
		leader: l, lease: lease, epoch: model.Epoch(revision), ledger: revision,
		aside: newAsideSet(), events: make(chan jobsched.Event, eventBuffer), stored: make(chan jobsched.Event, eventBuffer),
	}
	renewing, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.renewLease(renewing, t.lease, func() {})
	if err := t.recover(ctx, earlier); err != nil {
		l.deadline.Store(0)
		l.revoke(lease)
		return nil, err
	}
	return t, nil
}
