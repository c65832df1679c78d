package jobservice

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/port"
)

// tooSmall stores a fleet without a worker that is large enough for testSpec.
func tooSmall(store *memStore) { store.write(fleetChange(rosterOf(500))) }

// wantInfeasible submits the job to a daemon, which has to find that no worker can run it.
func wantInfeasible(t *testing.T, in *Intake) {
	t.Helper()
	var infeasible *job.InfeasibleError
	if err := submitTo(t, in, lateJob); !errors.As(err, &infeasible) {
		t.Fatalf("%v, want an InfeasibleError", err)
	}
}

// carryOutLate makes the writes that a store holds, none of which may succeed.
func carryOutLate(t *testing.T, late *lateStore) {
	t.Helper()
	for _, carryOut := range late.held {
		if carryOut().Succeeded {
			t.Error("the late acceptance succeeded")
		}
	}
}

// Guards against a job that runs although its caller was told that no worker can run it:
// the write of an earlier request that got no response is carried out afterwards.
func TestLateAcceptanceOfAnInfeasibleJobFails(t *testing.T) {
	store := newMemStore()
	late := submitLate(t, store, lateJob)
	tooSmall(store)
	wantInfeasible(t, newTestIntake(store))
	carryOutLate(t, late)
}

// Guards against the same while the store cannot be written: nothing keeps the earlier
// request from being accepted, so the job may not be refused.
func TestInfeasibleJobIsNotRefusedWithoutTheStore(t *testing.T) {
	store := newMemStore()
	tooSmall(store)
	var uncertain *UncertainError
	if err := submitTo(t, newTestIntake(readOnlyStore{store}), lateJob); !errors.As(err, &uncertain) {
		t.Errorf("%v, want an UncertainError", err)
	}
}

// Guards against a job that runs although its caller was told that the store had refused
// it: an earlier request had got no response, and its write is carried out afterwards.
func TestSubmissionThatTheStoreRefusesIsNotKnown(t *testing.T) {
	store := newMemStore()
	late := submitLate(t, store, lateJob)
	err := submitTo(t, newTestIntake(readOnlyStore{store}), lateJob)
	var uncertain *UncertainError
	if accepted := late.held[0]().Succeeded; accepted && !errors.As(err, &uncertain) {
		t.Errorf("%v, and the job is accepted late", err)
	}
}

// Guards against the same where a daemon refuses submissions because its configuration
// is old.
func TestRefusalForAnOldConfiguration(t *testing.T) {
	store := newMemStore()
	late := submitLate(t, store, lateJob)
	stale := &UnavailableError{Cause: &StaleConfigurationError{Version: 1, Age: time.Minute}}
	if err := newTestIntake(store).Refuse(t.Context(), nil, lateJob, stale); err != stale {
		t.Errorf("%v, want the refusal", err)
	}
	carryOutLate(t, late)
	var uncertain *UncertainError
	if err := newTestIntake(readOnlyStore{store}).Refuse(t.Context(), nil, lateJob, stale); !errors.As(err, &uncertain) {
		t.Errorf("%v, want an UncertainError", err)
	}
	d := newDeployment(t)
	if err := d.intake.Refuse(t.Context(), nil, intactJob, stale); err != nil {
		t.Errorf("a job that was accepted: %v", err)
	}
}

// Guards against a job that is refused as infeasible although it was accepted, or that
// cannot be submitted any more after a refusal.
func TestInfeasibleJobThatWasAccepted(t *testing.T) {
	d := newDeployment(t)
	tooSmall(d.store)
	in := newTestIntake(d.store)
	wantInfeasible(t, in)
	d.store.write(fleetChange(rosterOf(2000)))
	in.fleet.read.Store(nil)
	if err := submitTo(t, in, lateJob); err != nil {
		t.Fatal(err)
	}
	tooSmall(d.store)
	if err := submitTo(t, newTestIntake(d.store), lateJob); err != nil {
		t.Errorf("a submission of an accepted job: %v", err)
	}
	d.lead()
	d.awaitCompleted(lateJob)
}

// unwritableStore refuses all transactions until a time.
type unwritableStore struct {
	*memStore
	until time.Time
}

func (s *unwritableStore) Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	if time.Now().Before(s.until) {
		return readOnlyStore{s.memStore}.Txn(ctx, conditions, changes)
	}
	return s.memStore.Txn(ctx, conditions, changes)
}

// Guards against callers who use up their retries within an outage of the store: they are
// told at once that the outcome is not known, and submit the job again at once.
func TestSubmissionOutlastsAShortRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &unwritableStore{memStore: newMemStore(), until: time.Now().Add(acceptTimeout / 2)}
		if err := submitTo(t, intakeWithClock(store, bubbleClock{}), lateJob); err != nil {
			t.Errorf("refused for half of the time of a submission: %v", err)
		}
		store.until = time.Now().Add(time.Minute)
		began := time.Now()
		var uncertain *UncertainError
		if err := submitTo(t, intakeWithClock(store, bubbleClock{}), intactJob); !errors.As(err, &uncertain) {
			t.Errorf("refused for longer: %v, want an UncertainError", err)
		}
		if took := time.Since(began); took != acceptTimeout {
			t.Errorf("answered after %s, want %s", took, acceptTimeout)
		}
	})
}
