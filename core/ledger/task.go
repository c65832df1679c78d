package ledger

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Task is the record of one task. FailedWorkers is shared between copies and must
// not be modified in place.
type Task struct {
	Key   model.TaskKey
	State State
	// Attempt is the number of the latest placement on a worker, 0 before the
	// first.
	Attempt model.Attempt
	// Worker is the worker on which the task's size is committed, or was when the
	// task ended. It is empty while the task is pending.
	Worker model.WorkerID
	// Size is the resources committed on Worker.
	Size       model.Resources
	Checkpoint string
	Evictions  uint32
	Failures   uint32
	// FailedWorkers are the distinct workers on which the task failed, in order of
	// the latest failure.
	FailedWorkers []model.WorkerID
	Reason        string
	// Resume is whether a stopping task becomes pending again instead of ending.
	Resume bool
	// NotBefore is the earliest time of the next start, stored in whole
	// milliseconds; zero if there is no limit.
	NotBefore time.Time
	// Address is the host:port at which an instance of a service accepts requests.
	Address  string
	Service  bool
	Class    string
	Priority model.Priority
	Team     string
	// MovedTo is the shard that a moved task was handed to.
	MovedTo model.ShardID
}

// AttemptKey identifies the task's latest attempt.
func (t *Task) AttemptKey() model.AttemptKey {
	return model.AttemptKey{Task: t.Key, Attempt: t.Attempt}
}

// Equal reports whether two records are equal.
func (t *Task) Equal(o *Task) bool {
	a, b := *t, *o
	a.FailedWorkers, b.FailedWorkers = nil, nil
	sameTime := a.NotBefore.Equal(b.NotBefore)
	a.NotBefore, b.NotBefore = time.Time{}, time.Time{}
	return sameTime && slices.Equal(t.FailedWorkers, o.FailedWorkers) && equalPlain(&a, &b)
}

func equalPlain(a, b *Task) bool {
	return a.Key == b.Key && a.State == b.State && a.Attempt == b.Attempt &&
		a.Worker == b.Worker && a.Size == b.Size && a.Checkpoint == b.Checkpoint &&
		a.Evictions == b.Evictions && a.Failures == b.Failures &&
		a.Reason == b.Reason && a.Resume == b.Resume && a.Address == b.Address &&
		a.Service == b.Service && a.Class == b.Class && a.Priority == b.Priority &&
		a.Team == b.Team && a.MovedTo == b.MovedTo
}

// normalise converts a record to the form in which it is stored, so that the
// record in memory equals the one that a later owner reads.
func (t *Task) normalise() {
	t.NotBefore = wholeMillis(t.NotBefore)
	if len(t.FailedWorkers) == 0 {
		t.FailedWorkers = nil
	}
	if t.State.Terminal() {
		t.NotBefore = time.Time{}
		t.Address = ""
		t.Checkpoint = ""
		t.Resume = false
	}
}

func wholeMillis(t time.Time) time.Time {
	if t.IsZero() {
		return time.Time{}
	}
	return time.UnixMilli(t.UnixMilli()).UTC()
}

// Quarantine keeps new tasks off a worker until a time. A zero Until lifts the
// quarantine.
type Quarantine struct {
	Worker model.WorkerID
	// Until is stored in whole milliseconds.
	Until time.Time
	Level uint32
}

// Lifted reports whether the record ends a quarantine.
func (q Quarantine) Lifted() bool { return q.Until.IsZero() }
