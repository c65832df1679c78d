package jobservice

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/port"
)

// lateStore makes no transaction and gives no response to it, but remembers it, so
// that it can be carried out late.
type lateStore struct {
	*memStore
	held []func() port.TxnResult
}

func (s *lateStore) Txn(_ context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	s.held = append(s.held, func() port.TxnResult {
		result, err := s.memStore.Txn(context.Background(), conditions, changes)
		if err != nil {
			panic(err)
		}
		return result
	})
	return port.TxnResult{}, &port.StoreError{Call: "Txn", Kind: port.StoreTimeout, Outcome: port.OutcomeUnknown, Cause: context.DeadlineExceeded}
}

const lateJob = job.ID("00000000000000cc")

func submitTo(t *testing.T, in *Intake, id job.ID) error {
	t.Helper()
	q := testQueue()
	return in.Submit(t.Context(), id, testSpec(), &q, 1)
}

func newTestIntake(store RecordStore) *Intake {
	return NewIntake(store, BootClock{}, logrus.New(), NewMetrics(prometheus.NewRegistry()))
}

// submitLate submits a job with writes that are carried out late.
func submitLate(t *testing.T, store *memStore, id job.ID) *lateStore {
	t.Helper()
	late := &lateStore{memStore: store}
	in := newTestIntake(late)
	var uncertain *UncertainError
	if err := submitTo(t, in, id); !errors.As(err, &uncertain) {
		t.Fatalf("a submission without a response: %v, want an UncertainError", err)
	}
	return late
}

func wantUnknown(t *testing.T, what string, err error) {
	t.Helper()
	var unknown *UnknownJobError
	if !errors.As(err, &unknown) {
		t.Errorf("%s: %v, want an UnknownJobError", what, err)
	}
}

// Guards against a job that runs although its cancel was answered with "no such job":
// the write that accepts it got no response, was carried out after the cancel at another
// daemon, and still met its conditions.
func TestLateAcceptanceOfACanceledJobFails(t *testing.T) {
	d := newDeployment(t)
	late := submitLate(t, d.store, lateJob)
	wantUnknown(t, "cancel", d.intake.Cancel(t.Context(), nil, lateJob))
	wantUnknown(t, "cancel again", d.intake.Cancel(t.Context(), nil, lateJob))
	for _, carryOut := range late.held {
		if carryOut().Succeeded {
			t.Error("the late acceptance succeeded")
		}
	}
	_, err := d.intake.State(t.Context(), nil, lateJob)
	wantUnknown(t, "state", err)
	d.lead()
	d.awaitCompleted(intactJob)
	if n := d.worker.startsOf(lateJob); n != 0 {
		t.Errorf("%d tasks of the canceled job were started", n)
	}
}

// Guards against the same over a take-over: the leader that reads the tombstone must not
// lose it, and must not show the job.
func TestLateAcceptanceAfterATakeOverFails(t *testing.T) {
	d := newDeployment(t)
	late := submitLate(t, d.store, lateJob)
	wantUnknown(t, "cancel", d.intake.Cancel(t.Context(), nil, lateJob))
	d.lead()
	d.awaitCompleted(intactJob)
	for _, carryOut := range late.held {
		if carryOut().Succeeded {
			t.Error("the late acceptance succeeded")
		}
	}
	_, err := d.intake.State(t.Context(), nil, lateJob)
	wantUnknown(t, "state", err)
}

// A job that is submitted again after a cancel that found nothing stays canceled.
func TestSubmissionAfterACancelThatFoundNothing(t *testing.T) {
	d := newDeployment(t)
	d.lead()
	wantUnknown(t, "cancel", d.intake.Cancel(t.Context(), nil, lateJob))
	for range 2 {
		if err := submitTo(t, d.intake, lateJob); err != nil {
			t.Fatal(err)
		}
		if state, err := d.intake.State(t.Context(), nil, lateJob); err != nil || state != job.Canceled {
			t.Errorf("state %q, %v, want %q", state, err, job.Canceled)
		}
	}
	wantUnknown(t, "cancel again", d.intake.Cancel(t.Context(), nil, lateJob))
	d.awaitCompleted(intactJob)
	if n := d.worker.startsOf(lateJob); n != 0 {
		t.Errorf("%d tasks of the canceled job were started", n)
	}
}

// A caller that is told that a job does not exist may submit it, unless it has canceled
// it.
func TestSubmissionAfterAStateThatFoundNothing(t *testing.T) {
	d := newDeployment(t)
	_, err := d.intake.State(t.Context(), nil, lateJob)
	wantUnknown(t, "state", err)
	d.submit(lateJob)
	d.lead()
	d.awaitCompleted(lateJob)
}

// readOnlyStore can be read, and is unavailable for transactions.
type readOnlyStore struct{ *memStore }

func (readOnlyStore) Txn(context.Context, []port.Condition, []port.Op) (port.TxnResult, error) {
	return port.TxnResult{}, &port.StoreError{Call: "Txn", Kind: port.StoreUnavailable, Outcome: port.OutcomeNotDone}
}

// Guards against a cancel that is answered with "no such job" without a tombstone.
func TestCancelWithoutTheStoreIsNotAnswered(t *testing.T) {
	unreadable := newMemStore()
	unreadable.failing = map[string]int{acceptedKey(lateJob): 1 << 20}
	for name, store := range map[string]RecordStore{
		"no writes": readOnlyStore{newMemStore()}, "no reads": unreadable, "no responses": &lateStore{memStore: newMemStore()},
	} {
		t.Run(name, func(t *testing.T) {
			in := newTestIntake(store)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			err := in.Cancel(ctx, nil, lateJob)
			var unknown *UnknownJobError
			if err == nil || errors.As(err, &unknown) {
				t.Errorf("cancel: %v, want an error that leaves the outcome open", err)
			}
		})
	}
}

// Guards against callers that fill the store by canceling random ids.
func TestCancelsOfUnknownJobsAreLimited(t *testing.T) {
	d := newDeployment(t)
	began, refused := time.Now(), 0
	for n := range 20 * tombstoneBurst {
		var busy *TooManyUnknownJobsError
		if err := d.intake.Cancel(t.Context(), nil, numberedJob(n)); errors.As(err, &busy) {
			refused++
		} else {
			wantUnknown(t, "cancel", err)
		}
	}
	if refused == 0 {
		t.Errorf("no cancel of %d was refused", 20*tombstoneBurst)
	}
	stored, _, err := d.store.List(t.Context(), tombstonePrefix)
	if err != nil {
		t.Fatal(err)
	}
	if most := tombstoneBurst + int(tombstonesPerSecond*time.Since(began).Seconds()) + 1; len(stored) > most {
		t.Errorf("%d tombstones are stored, want at most %d", len(stored), most)
	}
	// A job that was accepted can be canceled all the same.
	if err := d.intake.Cancel(t.Context(), nil, intactJob); err != nil {
		t.Errorf("cancel of an accepted job: %v", err)
	}
}

// Guards against cancels that are not acknowledged in time after an outage of the store,
// in which submissions got no response: at the daemon that is left, or at each of some,
// all callers repeat their cancels until they are.
func TestCancelsAfterAnOutageAreAcknowledged(t *testing.T) {
	const (
		writesPerSecond = 400
		callers         = 180
		ackTime         = 4 * time.Second
		repeatAfter     = 300 * time.Millisecond
	)
	for _, daemons := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemStore()
				var callersDone sync.WaitGroup
				var acknowledged atomic.Int64
				for d := range daemons {
					in := intakeWithClock(store, bubbleClock{})
					in.ShareStoreWrites(writesPerSecond, func() int { return daemons })
					for n := range callers / daemons {
						callersDone.Go(func() {
							id, end := numberedJob(d*callers+n), time.Now().Add(ackTime)
							var unknown *UnknownJobError
							for !errors.As(in.Cancel(t.Context(), nil, id), &unknown) {
								time.Sleep(repeatAfter)
							}
							if !time.Now().After(end) {
								acknowledged.Add(1)
							}
						})
					}
				}
				callersDone.Wait()
				if n := acknowledged.Load(); n != callers {
					t.Errorf("%d of %d cancels were acknowledged within %s", n, callers, ackTime)
				}
			})
		})
	}
}

// Guards against cancels of random ids that use up the store's writes.
func TestTombstonesUseAShareOfTheWrites(t *testing.T) {
	const writesPerSecond, daemons, duration = 400, 3, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{memStore: newMemStore()}
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		for d := range daemons {
			in := intakeWithClock(store, bubbleClock{})
			in.ShareStoreWrites(writesPerSecond, func() int { return daemons })
			for n := 0; ctx.Err() == nil; n++ {
				if in.Cancel(ctx, nil, numberedJob(d*1000+n)) == nil {
					t.Fatal("an unknown job is canceled")
				}
				time.Sleep(duration / 1000)
			}
		}
		if most := tombstoneWriteShare*writesPerSecond*duration.Seconds() + daemons*tombstoneBurst; float64(store.writes) > most {
			t.Errorf("%d writes, want at most %.0f", store.writes, most)
		}
	})
}

// A daemon of a version without tombstones reads one as the record of a canceled job.
func TestTombstoneIsReadAsACanceledJob(t *testing.T) {
	for _, submitted := range []bool{false, true} {
		s := newTombstone(1_700_000_000_000)
		s.Submitted = submitted
		p, err := job.DecodeProgress(encodeRecord(s))
		if err != nil {
			t.Fatal(err)
		}
		if p.State != job.Canceled || p.FinalAtMs != s.FinalAtMs {
			t.Errorf("read as %+v", p)
		}
	}
}

func numberedJob(n int) job.ID { return job.ID(fmt.Sprintf("%016x", 1000+n)) }

// countingStore counts the calls of an Intake.
type countingStore struct {
	*memStore
	reads, writes int
}

func (s *countingStore) Get(ctx context.Context, key string) (port.KeyValue, error) {
	s.reads++
	return s.memStore.Get(ctx, key)
}

func (s *countingStore) Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	s.writes++
	return s.memStore.Txn(ctx, conditions, changes)
}

// Guards against cancels that use up the calls to the store that a site has.
func TestCallsOfACancel(t *testing.T) {
	ended := port.Op{Key: progressKey(lateJob), Value: (&job.Progress{State: job.Completed}).Encode()}
	accepted := &job.Accepted{Spec: *testSpec(), Queue: testQueue(), ConfigVersion: 1}
	for name, c := range map[string]struct {
		stored        []port.Op
		reads, writes int
	}{
		"accepted":  {[]port.Op{{Key: acceptedKey(lateJob), Value: accepted.Encode()}}, 1, 1},
		"ended":     {[]port.Op{ended}, 3, 0},
		"unknown":   {nil, 2, 1},
		"tombstone": {newTombstone(0).changes(lateJob), 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			store := &countingStore{memStore: newMemStore()}
			for _, op := range c.stored {
				store.write(op)
			}
			in := newTestIntake(store)
			err := in.Cancel(t.Context(), nil, lateJob)
			if name != "accepted" {
				wantUnknown(t, "cancel", err)
			} else if err != nil {
				t.Error(err)
			}
			if store.reads != c.reads || store.writes != c.writes {
				t.Errorf("%d reads and %d writes, want %d and %d", store.reads, store.writes, c.reads, c.writes)
			}
		})
	}
}
