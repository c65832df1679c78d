package jobservice

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/port"
)

// Intake serves callers' requests at any daemon, using only the store.
type Intake struct {
	store     RecordStore
	revisions *revisions
	clock     Clock
	fleet     *fleetView
	// tombstones limits the cancels of unknown jobs, each of which writes.
	tombstones  *tombstoneLimit
	concurrency concurrency
	// suspensions tells whether a submission may have waited in a socket for long.
	suspensions suspensions
	// ledger is what the leader tells of new jobs. rejectByForecast is whether jobs are
	// rejected by its forecast.
	ledger           *ledgerView
	rejectByForecast bool
	// daemons returns how many daemons accept jobs.
	daemons func() int
	log     *logrus.Entry
	metrics *Metrics
}

// NewIntake returns an Intake.
func NewIntake(store RecordStore, clock Clock, log *logrus.Logger, metrics *Metrics) *Intake {
	entry := log.WithField("component", "intake")
	fleet := &fleetView{log: entry, metrics: metrics}
	known := new(revisions)
	records := revisionStore{store, known}
	return &Intake{
		store: records, revisions: known, daemons: func() int { return 1 },
		ledger: &ledgerView{store: records, clock: clock, log: entry, metrics: metrics}, clock: clock, fleet: fleet, tombstones: newTombstoneLimit(), concurrency: newConcurrency(),
		log: entry, metrics: metrics,
	}
}

const (
	// acceptTimeout bounds the submission of a job. The caller allows several seconds
	// for it, and half of them remain for a retry at another daemon.
	acceptTimeout = 1300 * time.Millisecond
	// maxSubmissionAge is how long after its arrival a submission may still be written. A
	// daemon may be paused in between, and the records of a cancel or of a rejection that
	// was answered meanwhile are kept only for some time: the lateness of the store
	// added, this is well below minTombstoneTime.
	maxSubmissionAge = 3 * time.Second
	// storeTimeout bounds one call to the store outside of callers' requests. The
	// store responds within 4 ms when it is healthy, and within some hundred
	// milliseconds when it is slow.
	storeTimeout = 800 * time.Millisecond
	// refusedPause is the delay after which a submission that the store refused is written
	// again.
	refusedPause = 250 * time.Millisecond
	// retryPause is the delay between two attempts of a store call for a caller.
	retryPause = 40 * time.Millisecond
	// maxSummaryAge is how old the counts of a queue may be: the 2 s that they are
	// allowed, and a margin for the difference between two clocks.
	maxSummaryAge = 2500 * time.Millisecond
)

// State returns the state of a job of queue q, or of any queue if q is nil. The error is an
// *UnknownJobError, an *UncertainError or an *UnavailableError.
func (in *Intake) State(ctx context.Context, q *job.Queue, id job.ID) (job.State, error) {
	leave, err := in.concurrency.reads.take(ctx)
	if err != nil {
		return "", &UnavailableError{Cause: err}
	}
	defer leave()
	progress, err := in.progress(ctx, id)
	if err != nil || progress != nil {
		return stateOf(progress, q, id, err)
	}
	accepted, _, err := in.accepted(ctx, id)
	switch {
	case err != nil:
		return "", err
	case accepted != nil && !isOf(accepted.Queue.Fingerprint(), q):
		return "", &UnknownJobError{ID: id}
	case accepted != nil && accepted.Canceled:
		return job.Canceled, nil
	case accepted != nil:
		return job.Queued, nil
	}
	// The job may have started and ended between the two reads.
	progress, err = in.progress(ctx, id)
	if err != nil || progress != nil {
		return stateOf(progress, q, id, err)
	}
	return "", &UnknownJobError{ID: id}
}

// stateOf returns the state in a progress record that was read with the given error.
func stateOf(p *job.Progress, q *job.Queue, id job.ID, err error) (job.State, error) {
	switch {
	case err != nil:
		return "", err
	case !isOf(p.Queue, q):
		return "", &UnknownJobError{ID: id}
	}
	return p.State, nil
}

// Cancel marks a job of queue q as canceled, or one of any queue if q is nil. The error is
// an *UnknownJobError if there is no such job or it has ended, an *UncertainError or an
// *UnavailableError. After an *UnknownJobError no acceptance of the job that is under way
// succeeds any more.
func (in *Intake) Cancel(ctx context.Context, q *job.Queue, id job.ID) error {
	leave, err := in.concurrency.cancels.take(ctx)
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	defer leave()
	for {
		accepted, revision, err := in.accepted(ctx, id)
		switch {
		case err != nil:
			return err
		case accepted == nil:
			refused, err := in.refuseAcceptance(ctx, id)
			if err != nil {
				return err
			}
			if refused {
				return &UnknownJobError{ID: id}
			}
			continue
		case !isOf(accepted.Queue.Fingerprint(), q):
			return &UnknownJobError{ID: id}
		case accepted.Canceled:
			return nil
		}
		accepted.Canceled, accepted.CanceledAtMs = true, in.clock.Wall().UnixMilli()
		condition := []port.Condition{{Key: acceptedKey(id), Kind: port.CompareModRevision, Revision: revision}}
		result, err := in.store.Txn(ctx, condition, []port.Op{{Key: acceptedKey(id), Value: accepted.Encode()}})
		switch {
		case err == nil && result.Succeeded:
			return nil
		case err != nil && !Pause(ctx, retryPause):
			return &UncertainError{Cause: err}
		}
	}
}

// WaitingJobs returns how many jobs of a queue wait for their first task to start.
// The error is an *UncertainError, an *UnavailableError or a *StaleSummaryError.
func (in *Intake) WaitingJobs(ctx context.Context, queue string) (int, error) {
	leave, err := in.concurrency.reads.take(ctx)
	if err != nil {
		return 0, &UnavailableError{Cause: err}
	}
	defer leave()
	kv, err := in.store.Get(ctx, ledgerKey)
	if err != nil {
		return 0, &UncertainError{Cause: err}
	}
	ledger, err := decodeLedger(kv)
	if err != nil {
		return 0, &UncertainError{Cause: err}
	}
	age := in.clock.Wall().Sub(time.UnixMilli(ledger.Summary.WrittenMs))
	if age > maxSummaryAge {
		return 0, &StaleSummaryError{Age: age}
	}
	return ledger.Summary.Waiting[queue], nil
}

// progress returns the progress record of a job, nil if there is none or if it is the
// tombstone of a job that was never submitted. The error is an *UncertainError.
func (in *Intake) progress(ctx context.Context, id job.ID) (*job.Progress, error) {
	kv, err := in.store.Get(ctx, progressKey(id))
	if err != nil {
		return nil, &UncertainError{Cause: err}
	}
	if kv.ModRevision == 0 {
		return nil, nil
	}
	p, err := job.DecodeProgress(kv.Value)
	if err != nil {
		return nil, &UncertainError{Cause: err}
	}
	if p.State == job.Canceled {
		if s := tombstoneIn(kv.Value); s != nil && !s.Submitted {
			return nil, nil
		}
	}
	return p, nil
}

// accepted returns the accepted record of a job and its revision, nil if there is
// none. The error is an *UncertainError.
func (in *Intake) accepted(ctx context.Context, id job.ID) (*job.Accepted, int64, error) {
	kv, err := in.store.Get(ctx, acceptedKey(id))
	if err != nil {
		return nil, 0, &UncertainError{Cause: err}
	}
	if kv.ModRevision == 0 {
		return nil, 0, nil
	}
	a, err := job.DecodeAccepted(kv.Value)
	if err != nil {
		return nil, 0, &UncertainError{Cause: err}
	}
	return a, kv.ModRevision, nil
}

// IsNotDone reports whether the store has certainly not made the change that failed
// with err.
func IsNotDone(err error) bool {
	var failure *port.StoreError
	return errors.As(err, &failure) && failure.Outcome == port.OutcomeNotDone
}

// Pause waits for d. It returns false if ctx ended first.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
