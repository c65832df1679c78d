package jobservice

import (
	"cmp"
	"context"
	"iter"
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// recover creates the machine from the state that the previous leader stored. ledger
// is that leader's ledger.
func (t *term) recover(ctx context.Context, ledger ledgerRecord) error {
	l := t.leader
	began := l.o.Clock.Now()
	r := jobsched.Recovered{
		Wall: l.o.Clock.Wall(), Config: l.o.Config.Current(), RosterValid: ledger.RosterValid, RosterAge: ledger.RosterAge,
		UnseenCrash: ledger.UnseenCrash, RosterLostLeft: ledger.RosterLostLeft,
	}
	if err := l.recoverCluster(ctx, &r); err != nil {
		return err
	}
	if err := t.recoverJobs(ctx, &r); err != nil {
		return err
	}
	options := l.o.Machine
	options.OnPart = t.load.begin
	t.machine = jobsched.New(l.o.Clock.Now(), t.epoch, options, r)
	l.log.WithFields(logrus.Fields{
		"epoch": t.epoch, "jobs": len(r.Accepted), "records": len(r.Progress), "setAside": len(r.Unreadable),
		"rosterStands": r.RosterValid, "took": l.o.Clock.Now().Sub(began).String(),
	}).Info("state read")
	return nil
}

// recoverCluster reads the roster and the learned interference.
func (l *Leader) recoverCluster(ctx context.Context, r *jobsched.Recovered) error {
	// Both values may be as large as the store permits, so the reads have no deadline
	// of their own: the store's adapter ends them when the store is silent.
	kv, err := l.o.Store.Get(ctx, rosterKey)
	if err != nil {
		return err
	}
	if r.Roster, err = decodeRoster(kv); err != nil {
		l.o.Metrics.ReportUnreadable(l.log, kindRoster, kv, err, "nothing is started until all leases of an earlier leader have ended")
		r.RosterLost = true
	}
	if kv, err = l.o.Store.Get(ctx, interferenceKey); err != nil {
		return err
	}
	if r.Learned, err = decodeInterference(kv); err != nil {
		l.o.Metrics.ReportUnreadable(l.log, kindInterference, kv, err, "interference between images is learned anew")
	}
	return nil
}

// decodeRoster decodes the roster, which is empty if it is not stored. An error is a
// *job.RecordError, also for a worker without an id or an address, because such a
// worker could not be contacted.
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

// decodeInterference decodes the learned interference, which is empty if it is not
// stored. An error is a *job.RecordError, also for an effect without a spread, which
// would be taken as certain.
func decodeInterference(kv port.KeyValue) ([]interference.Effect, error) {
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

// recoverJobs reads the records of jobs, and separates the jobs that cannot continue
// because of damaged records.
func (t *term) recoverJobs(ctx context.Context, r *jobsched.Recovered) error {
	l := t.leader
	// Accepted jobs are read first: a job that ends between the two reads is in both
	// results, and its progress record says that it has ended.
	accepted, revision, err := readRecords(ctx, l.o.Store, acceptedPrefix, job.DecodeAccepted)
	if err != nil {
		return err
	}
	progress, _, err := readRecords(ctx, l.o.Store, progressPrefix, job.DecodeProgress)
	if err != nil {
		return err
	}
	t.takeTombstones(accepted, progress)
	t.jobsRevision, r.Revision, r.Accepted, r.Progress, r.Unreadable = revision, revision, accepted.byID, progress.byID, make(map[job.ID]*job.Accepted)
	acceptedErrs, progressErrs := l.reportDamaged(kindAccepted, accepted), l.reportDamaged(kindProgress, progress)
	for _, ids := range []iter.Seq[job.ID]{maps.Keys(acceptedErrs), maps.Keys(progressErrs), maps.Keys(r.Accepted)} {
		for id := range ids {
			err := checkJobRecords(r.Accepted[id], r.Progress[id], acceptedErrs[id], progressErrs[id])
			if err == nil {
				continue
			}
			if acceptedErrs[id] == nil && progressErrs[id] == nil {
				// Each record can be read, but they do not belong to the same job.
				l.o.Metrics.ReportUnreadable(l.log, kindProgress, progress.items[id], err, unreadableJobConsequence)
			}
			t.unreadableJobs.add(id)
			r.Unreadable[id] = r.Accepted[id]
		}
	}
	for id := range r.Unreadable {
		delete(r.Accepted, id)
		delete(r.Progress, id)
	}
	return nil
}

// reportDamaged reports the damaged records of a read, and returns the errors of
// those that belong to jobs.
func (l *Leader) reportDamaged(kind string, read damagedRecords) map[job.ID]error {
	causes := make(map[job.ID]error)
	prefix, damaged := read.damagedWithPrefix()
	l.o.Metrics.unreadable.clearReadable(prefix, damaged)
	for _, d := range damaged {
		id, err := jobIDFromKey(d.kv.Key, prefix)
		if err != nil {
			l.o.Metrics.ReportUnreadable(l.log, kind, d.kv, err, invalidKeyConsequence)
			continue
		}
		l.o.Metrics.ReportUnreadable(l.log, kind, d.kv, d.cause, unreadableJobConsequence)
		causes[id] = d.cause
	}
	return causes
}

// jobRecords holds the records with a key prefix, by job.
type jobRecords[T any] struct {
	prefix string
	byID   map[job.ID]*T
	items  map[job.ID]port.KeyValue
	// damaged lists the records that cannot be decoded, or whose key names no job.
	damaged []damagedRecord
}

// damagedRecords is implemented by jobRecords of every record type.
type damagedRecords interface {
	damagedWithPrefix() (prefix string, damaged []damagedRecord)
}

func (r *jobRecords[T]) damagedWithPrefix() (string, []damagedRecord) { return r.prefix, r.damaged }

// inOrder returns the jobs in the order of their records' revisions.
func (r *jobRecords[T]) inOrder() []job.ID {
	return slices.SortedFunc(maps.Keys(r.byID), func(a, b job.ID) int {
		return cmp.Compare(r.items[a].ModRevision, r.items[b].ModRevision)
	})
}

// readRecords reads the records with a key prefix, and the store's revision at that
// time. A record that cannot be decoded does not prevent the others from being used.
func readRecords[T any](ctx context.Context, store port.Store, prefix string, decode func([]byte) (*T, error)) (*jobRecords[T], int64, error) {
	items, revision, err := store.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	records := &jobRecords[T]{
		prefix: prefix, byID: make(map[job.ID]*T, len(items)), items: make(map[job.ID]port.KeyValue, len(items)),
	}
	for _, kv := range items {
		id, err := jobIDFromKey(kv.Key, prefix)
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
