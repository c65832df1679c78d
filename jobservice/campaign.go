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

// campaign waits until no daemon leads, tries to become leader and starts the term.
// It returns nil if another daemon was faster.
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
	l.extendDeadline(grantedAt)
	l.log.WithFields(logrus.Fields{"epoch": won, "lease": lease}).Info(joblog.MessageLeadershipAcquired)
	return l.startTerm(ctx, lease, won, earlier)
}

// awaitVacancy waits until the leader's key is absent and returns 0, or until the key
// belongs to no live leader and returns its revision, under which it may be replaced.
// A key belongs to no live leader if
//
//   - it was written by an earlier process of this daemon, which has certainly
//     exited;
//   - it is not attached to a lease. A leader writes the key only under its lease,
//     so no leader wrote this value. The key would never expire, and no daemon would
//     ever lead. The symptom is a leader's key with lease 0. If another writer has
//     overwritten the key of an active leader, that leader is deposed as in any
//     takeover: the ledger's key is written together with the leader's key, and
//     workers refuse the old epoch.
//
// A key that cannot be decoded but is attached to a lease may belong to a live
// leader, so awaitVacancy waits until that lease ends.
func (l *Leader) awaitVacancy(ctx context.Context) (int64, error) {
	for {
		kv, revision, err := l.readLeader(ctx)
		if err != nil {
			return 0, err
		}
		if kv.ModRevision == 0 {
			l.delayCampaign(ctx)
			return 0, nil
		}
		holder, err := decodeLeader(kv.Value)
		switch {
		case kv.Lease == 0:
			l.o.Metrics.ReportUnreadable(l.log, kindLeader, kv, cmp.Or(err, error(&NoLeaseError{Holder: holder.Daemon})),
				"it has no lease, belongs to no leader and is replaced")
			return kv.ModRevision, nil
		case err != nil:
			l.o.Metrics.ReportUnreadable(l.log, kindLeader, kv, err, "waiting for its lease to end")
		case holder.Daemon == l.o.Daemon:
			return kv.ModRevision, nil
		}
		l.awaitChange(ctx, kv, revision, holder)
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
}

// readLeader reads the leader's key, and the store's revision at that time. An absent
// key has ModRevision 0.
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

// NoLeaseError reports a leader's key that is not attached to a lease.
type NoLeaseError struct{ Holder string }

// Error implements error.
func (e *NoLeaseError) Error() string {
	return fmt.Sprintf("the leader's key names %s and has no lease", e.Holder)
}

// decodeLeader decodes the value of leaderKey. An error is a *job.RecordError, and
// the record is then empty even if a part of it could be decoded.
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

// delayCampaign waits before an attempt to become leader, for a time that decreases
// with the daemon's processors and has a random part. Daemons with more processors
// then become leader first, and not all daemons try at once.
func (l *Leader) delayCampaign(ctx context.Context) {
	delay := min(time.Duration(float64(campaignDelay)/max(l.o.Processors, 0.01)), maxCampaignDelay)
	Pause(ctx, delay+time.Duration(rand.Int64N(int64(campaignDelay))))
}

// awaitChange waits until the leader's key has changed or has to be read again.
// revision is the store's revision when the key was read. The watch starts from there
// and not from the revision of the key: once a leader has led for longer than the
// store keeps its history, a watch from the key's revision is refused, and each
// follower would read the key ten times a second for the rest of the term.
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

// grant obtains a lease, and returns it with the time at which the call was sent.
func (l *Leader) grant(ctx context.Context) (port.LeaseID, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	at := l.o.Clock.Now()
	lease, err := l.o.Store.GrantLease(ctx, l.o.LeaderTTL)
	return lease, at, err
}

// acquire makes this daemon the leader. It returns the store revision at which it
// became leader, or 0 if another daemon leads, and the ledger that the previous
// leader left. held is the revision of the leader's key that may be replaced.
//
// The ledger's key is written in the same transaction, so that no commit of an
// earlier leader can succeed afterwards. Its content stays unchanged until the first
// commit of this leader, which precedes its first start: if this leader is lost
// before that commit, the statements of the stored roster remain valid.
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
		l.o.Metrics.ReportUnreadable(l.log, kindLedger, ledger, err, "it is written anew, and counts are unknown until then")
		value = nil
	}
	if len(value) == 0 {
		value = encodeRecord(ledgerRecord{})
	}
	changes := []port.Op{
		{Key: leaderKey, Value: record, Lease: lease},
		{Key: ledgerKey, Value: value},
	}
	if l.suspended != nil && l.suspended.ledger != ledger.ModRevision {
		l.log.Info("another daemon has led in the meantime; reading the state again")
		l.suspended = nil
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
	revision, err := l.wasAcquired(ctx, lease, err)
	return revision, earlier, err
}

// wasAcquired determines whether an acquisition without a response was made. It
// returns the revision at which it was, or cause if it was not.
func (l *Leader) wasAcquired(ctx context.Context, lease port.LeaseID, cause error) (int64, error) {
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

// startTerm creates the term, from the suspended state if that is still valid.
// earlier is the ledger that the previous leader left.
func (l *Leader) startTerm(ctx context.Context, lease port.LeaseID, revision int64, earlier ledgerRecord) (*term, error) {
	if t := l.suspended; t != nil {
		l.suspended = nil
		t.lease, t.epoch, t.ledger = lease, model.Epoch(revision), revision
		t.machine.Resume(l.o.Clock.Now(), t.epoch)
		l.log.WithField("epoch", revision).Info(joblog.MessageLeadershipContinued)
		return t, nil
	}
	t := &term{
		leader: l, lease: lease, epoch: model.Epoch(revision), ledger: revision,
		unreadableJobs: newUnreadableJobs(), tombstones: newTombstones(), events: make(chan queuedEvent, eventBuffer),
		commitOutcomes: make(chan queuedEvent, 1), storeEvents: make(chan queuedEvent, eventBuffer),
		load: newLoadMonitor(l.o.Metrics),
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
