package jobservice

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobforecast"
	"github.com/guavarill/guavarill/port"
)

// OverloadedError reports a job that was not accepted, and will not run unless it is
// submitted again, because it could not be served in time or the leader has no memory for it.
type OverloadedError struct {
	Queue    string
	Decision jobforecast.Decision
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("queue %s is overloaded: %s", e.Queue, e.Decision)
}

// RejectByForecast makes the Intake reject jobs that by the leader's forecast cannot be
// served in time. It must be called before the first request.
func (in *Intake) RejectByForecast() {
	in.rejectByForecast = true
}

// rejectTimeout bounds the calls to the store by which a job is rejected. When they take
// longer it is accepted.
const rejectTimeout = 80 * time.Millisecond

// checkLoad returns an *OverloadedError for a job that is rejected. It returns nil for
// one of which that cannot be said for certain: one that is known, or whose possible
// acceptance by an earlier request could not be ruled out.
func (in *Intake) checkLoad(ctx context.Context, id job.ID, spec *job.Spec, q *job.Queue) error {
	if !in.rejectByForecast {
		return nil
	}
	decision := in.ledger.forecast(ctx).Decide(in.clock.Wall(), q, spec, id)
	if decision.Reject && !in.canReject(ctx, id) {
		decision.Reject = false
	}
	in.metrics.overload.observe(q.Name, decision)
	if !decision.Reject {
		return nil
	}
	return &OverloadedError{Queue: q.Name, Decision: decision}
}

// refuseForMemory returns the answer to a submission for which the leader has no memory: an
// *OverloadedError, or what Refuse returns in its place.
func (in *Intake) refuseForMemory(ctx context.Context, q *job.Queue, id job.ID) error {
	refusal := &OverloadedError{Queue: q.Name, Decision: jobforecast.NoMemory(id)}
	err := in.Refuse(ctx, q, id, refusal)
	if errors.Is(err, refusal) {
		in.metrics.overload.countRejected(q.Name, refusal.Decision.Reason)
	}
	return err
}

// canReject reports whether it is certain that the job does not run unless it is
// submitted again.
func (in *Intake) canReject(ctx context.Context, id job.ID) bool {
	ctx, cancel := context.WithTimeout(ctx, rejectTimeout)
	defer cancel()
	ruledOut, err := in.ruleOutAcceptance(ctx, id)
	if err != nil {
		in.log.WithError(err).WithField("job", id).Info("job not rejected: an earlier acceptance could not be ruled out")
	}
	return ruledOut
}

// ruleOutAcceptance makes all acceptances of a job that are under way fail, and reports
// whether that is certain. An acceptance of an earlier request that got no response may
// otherwise succeed after the rejection was answered. A later submission of the job is
// accepted on condition that the record of the rejection is unchanged.
func (in *Intake) ruleOutAcceptance(ctx context.Context, id job.ID) (bool, error) {
	kv, err := in.store.Get(ctx, progressKey(id))
	if err != nil {
		return false, err
	}
	if kv.ModRevision != 0 && !isRejection(kv) {
		return false, nil
	}
	rejection := newTombstone(in.clock.Wall().UnixMilli())
	rejection.Rejected = true
	result, err := in.store.Txn(ctx, unacceptedJob(id, kv.ModRevision), rejection.changes(id))
	return err == nil && result.Succeeded, err
}

// isRejection reports whether a progress record is that of a rejection.
func isRejection(kv port.KeyValue) bool {
	s := tombstoneIn(kv.Value)
	return s != nil && s.Rejected
}

// rejection returns the revision of the record of a job's rejection, 0 if there is none.
// The error is an *UncertainError.
func (in *Intake) rejection(ctx context.Context, id job.ID) (int64, error) {
	kv, err := in.store.Get(ctx, progressKey(id))
	if err != nil {
		return 0, &UncertainError{Cause: err}
	}
	if !isRejection(kv) {
		return 0, nil
	}
	return kv.ModRevision, nil
}

// rejectedMeanwhile returns the error for a submission of a job whose rejection at another
// daemon may be more recent than the submission, which must not undo it then.
func rejectedMeanwhile(queue string) *OverloadedError {
	return &OverloadedError{Queue: queue, Decision: jobforecast.Decision{
		Reject: true, Reason: jobforecast.ReasonRejectedMeanwhile, RetryAfter: time.Second,
	}}
}

// rejectionRemoval returns the changes that remove the record of a job's rejection.
func rejectionRemoval(id job.ID) []port.Op {
	return []port.Op{{Key: progressKey(id), Delete: true}, {Key: tombstoneKey(id), Delete: true}}
}
