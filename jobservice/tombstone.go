package jobservice

import (
	"context"
	"fmt"

	"golang.org/x/time/rate"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/port"
)

// A tombstone is stored under the progress key of a job that was not known when it was
// canceled. Each write that accepts a job requires that key to be absent, so none that
// is still under way can succeed once the caller has been told that there is no such
// job. An entry under tombstonePrefix, written in the same transaction, tells the
// leader to remove both after some time.
//
// A daemon without tombstones reads one as the progress of a canceled job.
type tombstone struct {
	// State is always job.Canceled.
	State job.State `json:"state"`
	// FinalAtMs is when the job was canceled or, if it was submitted after that, when
	// that was, by the clock of the daemon that received the request, as Unix time in
	// milliseconds.
	FinalAtMs int64 `json:"overAtMs"`
	// Tombstone distinguishes the record from the progress of a job that was accepted.
	Tombstone bool `json:"tombstone"`
	// Submitted is set once the job has been submitted. It is shown as canceled from
	// then on, and as unknown before.
	Submitted bool `json:"submitted,omitempty"`
	// Rejected is set for a job that was not canceled but rejected for want of room. It
	// keeps acceptances that are under way from succeeding, and the caller may submit the
	// job again.
	Rejected bool `json:"rejected,omitempty"`
}

func newTombstone(canceledAtMs int64) *tombstone {
	return &tombstone{State: job.Canceled, FinalAtMs: canceledAtMs, Tombstone: true}
}

// decodeTombstone decodes a tombstone. An error is a *job.RecordError, also for the
// progress of a job that was accepted.
func decodeTombstone(value []byte) (*tombstone, error) {
	s := new(tombstone)
	if err := job.DecodeRecord(kindTombstone, value, s); err != nil {
		return nil, err
	}
	if !s.Tombstone {
		return nil, &job.RecordError{Kind: kindTombstone, Cause: &job.InvalidError{Field: "tombstone", Reason: "must be true"}}
	}
	return s, nil
}

// tombstoneIn returns the tombstone in a progress record, or nil if the record is that
// of an accepted job. One that cannot be decoded is reported where progress is decoded.
func tombstoneIn(progress []byte) *tombstone {
	s, err := decodeTombstone(progress)
	if err != nil {
		return nil
	}
	return s
}

// changes returns the writes that store the tombstone of a job.
func (s *tombstone) changes(id job.ID) []port.Op {
	value := encodeRecord(s)
	return []port.Op{{Key: progressKey(id), Value: value}, {Key: tombstoneKey(id), Value: value}}
}

const (
	// tombstonesPerSecond and tombstoneBurst bound the tombstones that a daemon stores if
	// the writes that the store accepts are not known.
	tombstonesPerSecond = 4
	tombstoneBurst      = 40
	// tombstoneWriteShare is the share of the store's writes that all daemons together use
	// for tombstones, so that cancels of random ids neither fill the store nor use up its
	// writes.
	tombstoneWriteShare = 0.1
)

// tombstoneLimit limits the tombstones that a daemon stores.
type tombstoneLimit struct {
	limiter *rate.Limiter
	// perSecond returns how many the daemon may store now; nil means tombstonesPerSecond.
	perSecond func() float64
}

func newTombstoneLimit() *tombstoneLimit {
	return &tombstoneLimit{limiter: rate.NewLimiter(tombstonesPerSecond, tombstoneBurst)}
}

// ShareStoreWrites bounds the tombstones that this daemon stores by its part of the store's
// writes, and the jobs that it accepts by its part of the leader's memory. daemons returns how
// many daemons share them. It must be called before the first request.
func (in *Intake) ShareStoreWrites(writesPerSecond float64, daemons func() int) {
	in.daemons = daemons
	in.tombstones.perSecond = func() float64 { return tombstoneWriteShare * writesPerSecond / float64(daemons()) }
}

// allow reports whether the daemon may store a tombstone now.
func (l *tombstoneLimit) allow() bool {
	if l.perSecond != nil {
		l.limiter.SetLimit(rate.Limit(max(l.perSecond(), tombstonesPerSecond)))
	}
	return l.limiter.Allow()
}

// TooManyUnknownJobsError reports a cancel that was not carried out because the daemon
// has received too many cancels of unknown jobs.
type TooManyUnknownJobsError struct{ ID job.ID }

// Error implements error.
func (e *TooManyUnknownJobsError) Error() string {
	return fmt.Sprintf("job %s is not known, and too many unknown jobs are being canceled", e.ID)
}

// refuseAcceptance makes every acceptance of an unknown job that is under way fail. It
// reports whether that is certain; otherwise the job's records have to be read again.
// The error is an *UncertainError or an *UnavailableError.
func (in *Intake) refuseAcceptance(ctx context.Context, id job.ID) (refused bool, err error) {
	kv, err := in.store.Get(ctx, progressKey(id))
	if err != nil {
		return false, &UncertainError{Cause: err}
	}
	earlier := tombstoneIn(kv.Value)
	if kv.ModRevision != 0 && earlier == nil {
		// The job has ended, unless it was accepted and begun since its accepted record
		// was read.
		accepted, _, err := in.accepted(ctx, id)
		return err == nil && accepted == nil, err
	}
	if earlier == nil && !in.tombstones.allow() {
		return false, &UnavailableError{Cause: &TooManyUnknownJobsError{ID: id}}
	}
	next := newTombstone(in.clock.Wall().UnixMilli())
	// A tombstone that is there is written anew, because it may be about to be removed.
	next.Submitted = earlier != nil && earlier.Submitted
	changes := next.changes(id)
	for {
		result, err := in.store.Txn(ctx, unacceptedJob(id, kv.ModRevision), changes)
		switch {
		case err == nil:
			return result.Succeeded, nil
		case !Pause(ctx, retryPause):
			return false, &UncertainError{Cause: err}
		}
	}
}

// unacceptedJob returns the conditions that a job is not accepted and that its progress
// has the given revision, which is 0 for a job that is not known.
func unacceptedJob(id job.ID, progress int64) []port.Condition {
	return []port.Condition{
		{Key: acceptedKey(id), Kind: port.CompareModRevision},
		{Key: progressKey(id), Kind: port.CompareModRevision, Revision: progress},
	}
}

// RecordsChangedError reports that the records of a job changed while they were read.
type RecordsChangedError struct{ ID job.ID }

// Error implements error.
func (e *RecordsChangedError) Error() string {
	return fmt.Sprintf("the records of job %s changed while they were read", e.ID)
}

// markSubmitted records that a job was submitted after it was canceled, so that its
// caller sees it as canceled. The error is an *UncertainError.
func (in *Intake) markSubmitted(ctx context.Context, id job.ID) error {
	kv, err := in.store.Get(ctx, progressKey(id))
	if err != nil {
		return &UncertainError{Cause: err}
	}
	s := tombstoneIn(kv.Value)
	switch {
	case kv.ModRevision == 0 || isRejection(kv):
		return &UncertainError{Cause: &RecordsChangedError{ID: id}}
	case s == nil || s.Submitted:
		return nil
	}
	s.Submitted, s.FinalAtMs = true, in.clock.Wall().UnixMilli()
	condition := []port.Condition{{Key: progressKey(id), Kind: port.CompareModRevision, Revision: kv.ModRevision}}
	result, err := in.store.Txn(ctx, condition, s.changes(id))
	switch {
	case err != nil:
		return &UncertainError{Cause: err}
	case !result.Succeeded:
		return &UncertainError{Cause: &RecordsChangedError{ID: id}}
	}
	return nil
}
