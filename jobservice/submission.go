package jobservice

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobmemory"
	"github.com/guavarill/guavarill/port"
)

// Submit validates a job and stores it for a queue, as the queue is defined in a
// version of the configuration. It bounds the estimates of spec. The error is a
// *job.InvalidError, a *job.LimitError for a job that exceeds a limit of guavarill, a
// *job.UnstorableError for a job whose progress could not be stored, a
// *job.InfeasibleError for one that no worker could ever run, an *OverloadedError for
// one that could not be served in time or for which the leader has no memory, an *IDTakenError for one whose id a job of another
// queue has, or one of accept's.
func (in *Intake) Submit(ctx context.Context, id job.ID, spec *job.Spec, q *job.Queue, configVersion uint64) error {
	arrived := in.arrive()
	if length := in.suspensions.last(arrived.at); length > 0 {
		return &UncertainError{Cause: &SuspendedError{Length: length}}
	}
	leave, err := in.concurrency.submissions.take(ctx)
	if err != nil {
		// An earlier submission may have been accepted.
		return &UncertainError{Cause: err}
	}
	defer leave()
	if err := spec.Check(); err != nil {
		return in.Refuse(ctx, q, id, err)
	}
	spec.Bound()
	if err := in.checkServable(ctx, id, spec, q); err != nil {
		return err
	}
	if err := in.checkLoad(ctx, id, spec, q); err != nil {
		return err
	}
	size := jobmemory.CostOf(spec).Of(1)
	if !in.ledger.reserve(ctx, size, in.daemons()) {
		return in.refuseForMemory(ctx, q, id)
	}
	revision, err := in.accept(ctx, id, arrived, &job.Accepted{
		Spec: *spec, Queue: *q, ConfigVersion: configVersion, AcceptedAtMs: arrived.wall.UnixMilli(),
	})
	in.ledger.settle(size, revision)
	return err
}

// checkServable rejects a job that exceeds a limit, whose progress could not be stored or
// that no worker could ever run, unless the job was accepted before: then the caller has to
// learn that it was.
func (in *Intake) checkServable(ctx context.Context, id job.ID, spec *job.Spec, q *job.Queue) error {
	refusal := spec.CheckLimits()
	if refusal == nil {
		refusal = spec.CheckRecord(q.MaxAttempts)
	}
	if refusal == nil {
		refusal = in.fleet.check(ctx, in.store, in.clock.Now(), q.Service, spec)
	}
	if refusal == nil {
		return nil
	}
	return in.Refuse(ctx, q, id, refusal)
}

// Refuse returns the answer to a submission that is refused: refusal once no acceptance
// of the job that is under way can succeed any more, nil if the job was accepted before,
// and an *UncertainError if neither is certain. An earlier submission that got no
// response may otherwise be accepted after its caller was told that the job never runs. q is
// nil if the job's queue is not known; with it, a job of another queue does not count.
func (in *Intake) Refuse(ctx context.Context, q *job.Queue, id job.ID, refusal error) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	ruledOut, err := in.ruleOutAcceptance(ctx, id)
	switch {
	case err != nil:
		return &UncertainError{Cause: err}
	case ruledOut:
		return refusal
	}
	var taken *IDTakenError
	if err := in.checkAccepted(ctx, q, id); !errors.As(err, &taken) {
		return err
	}
	return refusal
}

// AcceptedFields returns the fields of the log line about an accepted job.
func AcceptedFields(id job.ID, spec *job.Spec, q *job.Queue, configVersion uint64) logrus.Fields {
	return logrus.Fields{
		"job": id, "queue": q.Name, "configuration": configVersion, "steps": len(spec.Steps), "chainMs": spec.CriticalPathMs(),
	}
}

// arrival is when a submission arrived at this daemon.
type arrival struct {
	at, wall time.Time
	// revision is the highest revision of the store that the daemon knew of.
	revision int64
}

func (in *Intake) arrive() arrival {
	return arrival{at: in.clock.Now(), wall: in.clock.Wall(), revision: in.revisions.known()}
}

// accept stores a job under its id, unless a job is already stored there, and returns the
// store's revision with it; 0 if another attempt may have stored it. The error is
// an *OverloadedError if the job is not stored and will not be, and an *UncertainError
// if it may be. That is so also when the store has refused the write: an earlier
// submission may have got no response.
//
// An attempt whose response was lost may still take effect, but not in addition to
// another one, because all of them require the id to be free.
func (in *Intake) accept(ctx context.Context, id job.ID, arrived arrival, record *job.Accepted) (revision int64, err error) {
	acceptance := port.Op{Key: acceptedKey(id), Value: record.Encode()}
	changes := []port.Op{acceptance}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	rejection := int64(0)
	for {
		if age := in.clock.Now().Sub(arrived.at); age > maxSubmissionAge {
			return 0, &UncertainError{Cause: &LateSubmissionError{Age: age}}
		}
		result, err := in.store.Txn(ctx, unacceptedJob(id, rejection), changes)
		switch {
		case err == nil && result.Succeeded:
			return result.Revision, nil
		case IsNotDone(err) && Pause(ctx, refusedPause):
			continue
		case err != nil:
			return 0, &UncertainError{Cause: err}
		}
		rejected, err := in.rejection(ctx, id)
		switch {
		case err != nil:
			return 0, err
		case rejected == 0:
			return 0, in.checkAccepted(ctx, &record.Queue, id)
		case rejected > arrived.revision:
			return 0, rejectedMeanwhile(record.Queue.Name)
		}
		rejection = rejected
		changes = append([]port.Op{acceptance}, rejectionRemoval(id)...)
	}
}

// checkAccepted returns nil for a job whose id is taken, whether by this attempt, by
// another one, by a job that has ended since, or by a cancel that came before. It
// returns an *UncertainError if a record under the id cannot be decoded, because it is
// then unknown whether the job will run, and a caller who is told that it was accepted
// would not submit it again. It returns an *IDTakenError if the id is that of a job of
// another queue than q, which is nil if the queue is not known.
func (in *Intake) checkAccepted(ctx context.Context, q *job.Queue, id job.ID) error {
	progress, err := in.progress(ctx, id)
	switch {
	case err != nil:
		return err
	case progress != nil && progress.State.Final():
		return checkID(id, progress.Queue, q)
	}
	accepted, _, err := in.accepted(ctx, id)
	switch {
	case err != nil:
		return err
	case accepted != nil:
		return checkID(id, accepted.Queue.Fingerprint(), q)
	}
	return in.markSubmitted(ctx, id)
}
