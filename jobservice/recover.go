package jobservice

import (
	"context"
	"iter"
	"maps"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// recover reads what an earlier leader left, with its ledger.
func (t *term) recover(ctx context.Context, ledger ledgerRecord) error {
	l := t.leader
	began := l.o.Clock.Now()
	r := jobsched.Recovered{
		Wall: l.o.Clock.Wall(), Config: l.o.Config.Current(), RosterValid: ledger.RosterStands, RosterAge: ledger.RosterAge,
		UnseenCrash: ledger.UnseenCrash, RosterLostLeft: ledger.RosterLostLeft,
	}
	if err := l.recoverCluster(ctx, &r); err != nil {
		return err
	}
	if err := t.recoverJobs(ctx, &r); err != nil {
		return err
	}
	t.machine = jobsched.New(l.o.Clock.Now(), t.epoch, l.o.Machine, r)
	l.log.WithFields(logrus.Fields{
		"epoch": t.epoch, "jobs": len(r.Accepted), "records": len(r.Progress), "setAside": len(r.Unreadable),
		"rosterStands": r.RosterValid, "took": l.o.Clock.Now().Sub(began).String(),
	}).Info("state read")
	return nil
}

// recoverCluster reads the roster and what was learned of interference.
func (l *Leader) recoverCluster(ctx context.Context, r *jobsched.Recovered) error {
	// Both may be as large as a value may be: only the store's silence bounds them.
	kv, err := l.o.Store.Get(ctx, rosterKey)
	if err != nil {
		return err
	}
	if r.Roster, err = decodeRoster(kv); err != nil {
		l.o.Metrics.ReportUnreadable(l.log, kindRoster, kv, err, "nothing is started until all leases of an earlier leader have ended")
		r.RosterLost = true
	}
	if kv, err = l.o.Store.Get(ctx, learnedKey); err != nil {
		return err
	}
	if r.Learned, err = decodeLearned(kv); err != nil {
		l.o.Metrics.ReportUnreadable(l.log, kindInterference, kv, err, "which images disturb which is learned anew")
	}
	return nil
}

// decodeRoster reads the roster, which is empty if it is not there. An error is a
// *job.RecordError: also for a worker that could not be asked.
func decodeRoster(kv port.KeyValue) ([]jobsched.RosterEntry, error) {
	if kv.ModRevision == 0 {
		return nil, nil
	}
	var roster []jobsched.RosterEntry
	if err := job.DecodeRecord(kindRoster, kv.Value, &roster); err != nil {
		return nil, err
	}
	for _, w := range roster {
		if w.ID == "" || w.Address == "" {
			return nil, &job.RecordError{Kind: kindRoster, Cause: &job.InvalidError{
				Field: "a worker", Reason: "must have an id and an address",
			}}
		}
	}
	return roster, nil
}

// decodeLearned reads what was learned of interference, which is nothing if it is
// not there. An error is a *job.RecordError: also for an effect without a spread,
// which would be taken for certain.
func decodeLearned(kv port.KeyValue) ([]interference.Effect, error) {
	if kv.ModRevision == 0 {
		return nil, nil
	}
	var effects []interference.Effect
	if err := job.DecodeRecord(kindInterference, kv.Value, &effects); err != nil {
		return nil, err
	}
	for _, e := range effects {
		if e.Std <= 0 {
			return nil, &job.RecordError{Kind: kindInterference, Cause: &job.InvalidError{
				Field: "an effect", Reason: "must have a spread above 0",
			}}
		}
	}
	return effects, nil
}

// recoverJobs reads the records of jobs, and sets those aside that cannot go on by
// them.
func (t *term) recoverJobs(ctx context.Context, r *jobsched.Recovered) error {
	l := t.leader
	// Accepted jobs first: one that ends between the two reads is in both, and
	// its progress says that it is over.
	accepted, revision, err := readAll(ctx, l.o.Store, acceptedPrefix, job.DecodeAccepted)
	if err != nil {
		return err
	}
	progress, _, err := readAll(ctx, l.o.Store, progressPrefix, job.DecodeProgress)
	if err != nil {
		return err
	}
	t.jobsFrom, r.Accepted, r.Progress, r.Unreadable = revision, accepted.byID, progress.byID, make(map[job.ID]*job.Accepted)
	acceptedErrs, progressErrs := l.tellDamaged(kindAccepted, accepted), l.tellDamaged(kindProgress, progress)
	for _, ids := range []iter.Seq[job.ID]{maps.Keys(acceptedErrs), maps.Keys(progressErrs), maps.Keys(r.Accepted)} {
		for id := range ids {
			err := settleRecords(r.Accepted[id], r.Progress[id], acceptedErrs[id], progressErrs[id])
			if err == nil {
				continue
			}
			if acceptedErrs[id] == nil && progressErrs[id] == nil {
				// Each can be read, and they are not of one job.
				l.o.Metrics.ReportUnreadable(l.log, kindProgress, progress.items[id], err, asideConsequence)
			}
			t.aside.add(id)
			r.Unreadable[id] = r.Accepted[id]
		}
	}
	for id := range r.Unreadable {
		delete(r.Accepted, id)
		delete(r.Progress, id)
	}
	return nil
}

// tellDamaged tells of the damaged records that were read, and returns what is
// wrong with those of jobs.
func (l *Leader) tellDamaged(kind string, read damagedRecords) map[job.ID]error {
	causes := make(map[job.ID]error)
	prefix, damaged := read.damagedBelow()
	l.o.Metrics.unreadable.forgetRead(prefix, damaged)
	for _, d := range damaged {
		id, err := jobOf(d.kv.Key, prefix)
		if err != nil {
			l.o.Metrics.ReportUnreadable(l.log, kind, d.kv, err, strayConsequence)
			continue
		}
		l.o.Metrics.ReportUnreadable(l.log, kind, d.kv, d.cause, asideConsequence)
		causes[id] = d.cause
	}
	return causes
}

// jobRecords are the records below a prefix, by job.
type jobRecords[T any] struct {
	prefix string
	byID   map[job.ID]*T
	items  map[job.ID]port.KeyValue
	// damaged lists those that cannot be read, or whose key names no job.
	damaged []damagedRecord
}

// damagedRecords is what jobRecords of any type has.
type damagedRecords interface {
	damagedBelow() (prefix string, damaged []damagedRecord)
}

func (r *jobRecords[T]) damagedBelow() (string, []damagedRecord) { return r.prefix, r.damaged }

// readAll reads the records below a prefix. One that cannot be read does not keep
// the others from being used.
func readAll[T any](ctx context.Context, store port.Store, prefix string, decode func([]byte) (*T, error)) (*jobRecords[T], int64, error) {
	items, revision, err := store.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	records := &jobRecords[T]{
		prefix: prefix, byID: make(map[job.ID]*T, len(items)), items: make(map[job.ID]port.KeyValue, len(items)),
	}
	for _, kv := range items {
		id, err := jobOf(kv.Key, prefix)
		if err != nil {
			records.damaged = append(records.damaged, damagedRecord{kv, err})
			continue
		}
		record, err := decode(kv.Value)
		if err != nil {
			records.damaged = append(records.damaged, damagedRecord{kv, err})
			continue
		}
		records.byID[id], records.items[id] = record, kv
	}
	return records, revision, nil
}
