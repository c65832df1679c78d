package jobservice

import (
	"context"
	"time"

	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// commitSuperseded is the outcome of a commit that was not made because another
// leader has written the ledger.
type commitSuperseded struct{ jobsched.Committed }

// committedAt is a Committed event together with the ledger's revision after the
// commit.
type committedAt struct {
	jobsched.Committed
	revision int64
}

// sendCommit stores a commit in the background.
func (t *term) sendCommit(ctx context.Context, c jobsched.Commit) {
	ledger := t.ledger
	go t.commit(ctx, c, ledger)
}

// commit stores a commit and posts its outcome to the control goroutine.
func (t *term) commit(ctx context.Context, c jobsched.Commit, ledger int64) {
	if ev := t.storeCommit(ctx, c, ledger); ev != nil {
		t.post(ctx, ev)
	}
}

// storeCommit retries a commit until it is certainly stored, the store refuses it for
// good, another leader has written the ledger, or ctx ends. It returns the event of the
// outcome, nil if ctx ended.
func (t *term) storeCommit(ctx context.Context, c jobsched.Commit, ledger int64) jobsched.Event {
	began := time.Now()
	defer func() { t.leader.o.Metrics.commitTime.Observe(time.Since(began).Seconds()) }()
	changes := t.changes(c)
	if refused := oversized(c.Number, changes); refused != nil {
		t.reportRefused(*refused)
		return *refused
	}
	condition := []port.Condition{{Key: ledgerKey, Kind: port.CompareModRevision, Revision: ledger}}
	for ctx.Err() == nil {
		result, err := t.leader.o.Store.Txn(ctx, condition, changes)
		switch {
		case isRefusal(err):
			refused := jobsched.CommitRefused{Number: c.Number, Reason: err.Error()}
			t.reportRefused(refused)
			return refused
		case err != nil:
			t.leader.log.WithError(err).WithField("commit", c.Number).Debug("commit failed; retrying")
			Pause(ctx, commitPause)
		case result.Succeeded:
			return committedAt{jobsched.Committed{Number: c.Number}, result.Revision}
		default:
			if ev := t.resolveCommit(ctx, c); ev != nil {
				return ev
			}
		}
	}
	return nil
}

// resolveCommit determines, for a commit whose condition no longer holds, whether an
// earlier attempt has made it or another leader has written the ledger. It returns
// nil if the store could not be read.
func (t *term) resolveCommit(ctx context.Context, c jobsched.Commit) jobsched.Event {
	kv, err := t.leader.get(ctx, ledgerKey)
	if err != nil {
		Pause(ctx, commitPause)
		return nil
	}
	record, err := decodeLedger(kv)
	if err != nil {
		// No leader writes such a value: another writer has overwritten the ledger,
		// and with it the record of whether the commit was made. The term ends, and
		// the next leader writes the ledger anew and reads the stored state.
		t.leader.o.Metrics.ReportUnreadable(t.leader.log, kindLedger, kv, err, "another writer has overwritten it, and the term ends")
	}
	if err == nil && record.Incarnation == t.leader.o.Incarnation && record.Number == c.Number {
		return committedAt{jobsched.Committed{Number: c.Number}, kv.ModRevision}
	}
	return commitSuperseded{}
}

// changes returns the store writes of a commit.
func (t *term) changes(c jobsched.Commit) []port.Op {
	record := ledgerRecord{
		Incarnation: t.leader.o.Incarnation, Number: c.Number, Summary: c.Summary,
		RosterValid: c.RosterValid, RosterAge: c.RosterAge, UnseenCrash: c.UnseenCrash,
		RosterLostLeft: c.RosterLostLeft,
	}
	changes := []port.Op{{Key: ledgerKey, Value: encodeRecord(record)}}
	if c.Roster != nil {
		changes = append(changes, port.Op{Key: rosterKey, Value: encodeRecord(c.Roster)}, fleetChange(c.Roster))
	}
	if c.Learned != nil {
		changes = append(changes, port.Op{Key: interferenceKey, Value: encodeRecord(c.Learned)})
	}
	for _, p := range c.Puts {
		changes = append(changes, port.Op{Key: progressKey(p.ID), Value: p.Progress.Encode()})
	}
	for _, id := range c.RemoveAccepted {
		changes = append(changes, port.Op{Key: acceptedKey(id), Delete: true})
	}
	for _, id := range c.RemoveProgress {
		changes = append(changes, port.Op{Key: progressKey(id), Delete: true})
	}
	return changes
}

// storeFinalCommit stores the leader's last commit after the commit in flight, so
// that the next leader inherits its state, above all which attempts may run on which
// worker. It reports whether the last commit is certainly stored. The time limit is
// LeaderTTL, because two commits in a row take long while the store is slow.
func (t *term) storeFinalCommit() bool {
	ctx, cancel := context.WithTimeout(context.Background(), t.leader.o.LeaderTTL)
	defer cancel()
	if t.drain(t.handle) || !t.resolvePending(ctx) {
		return false
	}
	clock := t.leader.o.Clock
	last, notes := t.machine.HandOver(clock.Now(), clock.Wall())
	for _, n := range notes {
		t.note(n)
	}
	for range finalCommitTries {
		ev := t.storeCommit(ctx, last, t.ledger)
		refused, isRefused := ev.(jobsched.CommitRefused)
		if !isRefused {
			_, stored := ev.(committedAt)
			return stored
		}
		last = last.Without(refused)
	}
	return false
}

// resolvePending completes the commit in flight. It reports whether no commit is in
// flight any more and the term is not over.
func (t *term) resolvePending(ctx context.Context) bool {
	if t.pending == nil {
		return true
	}
	ev := t.storeCommit(ctx, *t.pending, t.ledger)
	return ev != nil && !t.handleEvent(ev)
}
