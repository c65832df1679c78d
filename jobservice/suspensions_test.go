package jobservice

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/port"
)

// pausingStore calls pause once, before the first read of a key is answered.
type pausingStore struct {
	*memStore
	key   string
	pause func()
}

func (s *pausingStore) Get(ctx context.Context, key string) (port.KeyValue, error) {
	kv, err := s.memStore.Get(ctx, key)
	if key == s.key && s.pause != nil {
		pause := s.pause
		s.pause = nil
		pause()
	}
	return kv, err
}

func intakeWithClock(store RecordStore, clock Clock) *Intake {
	return NewIntake(store, clock, logrus.New(), NewMetrics(prometheus.NewRegistry()))
}

// pauseSubmission submits a job to a daemon that is paused between the read and the write
// of the submission, for longer than what meanwhile stores is kept. It returns the
// submission's error.
func pauseSubmission(t *testing.T, meanwhile func(store *memStore, clock *setClock)) (*memStore, error) {
	t.Helper()
	clock := &setClock{now: time.Unix(1000, 0), wall: time.Unix(1_700_000_000, 0)}
	store := newMemStore()
	paused := &pausingStore{memStore: store, key: fleetKey, pause: func() {
		meanwhile(store, clock)
		leader := newTombstoneTerm(t, store, clock)
		leader.sweep()
		clock.pass(2 * testKeepFinal)
		leader.sweep()
		leader.wantKeys("after the pause", 0, 0)
	}}
	return store, submitTo(t, intakeWithClock(paused, clock), lateJob)
}

// Guards against a job that runs although its cancel was answered with "no such job", or
// its submission rejected: a daemon was paused in the middle of an earlier submission for
// longer than the records of these answers are kept, and went on.
func TestSubmissionIsNotStoredAfterAPause(t *testing.T) {
	for name, meanwhile := range map[string]func(*memStore, *setClock){
		"canceled": func(store *memStore, clock *setClock) {
			in := intakeWithClock(store, clock)
			wantUnknown(t, "cancel", in.Cancel(t.Context(), nil, lateJob))
		},
		"refused": func(store *memStore, clock *setClock) {
			in := intakeWithClock(store, clock)
			refusal := &job.InfeasibleError{}
			if err := in.Refuse(t.Context(), nil, lateJob, refusal); err != refusal {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			store, err := pauseSubmission(t, meanwhile)
			var uncertain *UncertainError
			if !errors.As(err, &uncertain) {
				t.Errorf("%v, want an UncertainError", err)
			}
			if _, stored := store.items[acceptedKey(lateJob)]; stored {
				t.Error("the job is accepted")
			}
		})
	}
}

// Guards against the same with a submission that lay in a socket of the daemon during the
// pause, and is read after it.
func TestSubmissionReadAfterAPauseIsNotStored(t *testing.T) {
	clock := &setClock{now: time.Unix(1000, 0), wall: time.Unix(1_700_000_000, 0)}
	store := newMemStore()
	in := intakeWithClock(store, clock)
	in.suspensions.note(clock.now)
	clock.pass(maxSuspension)
	if err := submitTo(t, in, intactJob); err != nil {
		t.Errorf("after a pause of %s: %v", maxSuspension, err)
	}
	in.suspensions.note(clock.now)
	clock.pass(2 * testKeepFinal)
	var suspended *SuspendedError
	if err := submitTo(t, in, lateJob); !errors.As(err, &suspended) {
		t.Errorf("as the first after a pause: %v, want a SuspendedError", err)
	}
	in.suspensions.note(clock.now)
	clock.pass(resumeTime)
	if err := submitTo(t, in, lateJob); !errors.As(err, &suspended) {
		t.Errorf("%s after a pause: %v, want a SuspendedError", resumeTime, err)
	}
	in.suspensions.note(clock.now)
	if _, stored := store.items[acceptedKey(lateJob)]; stored {
		t.Error("the job is accepted")
	}
	clock.pass(suspensionTick)
	if err := submitTo(t, in, lateJob); err != nil {
		t.Errorf("later: %v", err)
	}
}
