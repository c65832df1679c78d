package ledger

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Task is the record of one task. FailedWorkers is shared between copies and
// must not be changed in place.
type Task struct {
	Key   model.TaskKey
	State State
	// Attempt is the number of the latest placement, 0 before the first.
	Attempt model.Attempt
	// Worker is where the task holds room, or held it when it ended; empty
	// while pending.
	Worker model.WorkerID
	// Size is what is committed on Worker.
	Size       model.Resources
	Checkpoint string
	Evictions  uint32
	Failures   uint32
	// FailedWorkers are the distinct workers on which it failed, latest last.
	FailedWorkers []model.WorkerID
	Reason        string
	// Resume is whether a stopping task goes back to pending, rather than end.
	Resume bool
	// NotBefore is kept in whole milliseconds; zero when there is none.
	NotBefore time.Time
	// Address is where a service's instance takes requests, host:port.
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

// Equal reports whether two records say the same.
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

// normalise brings a record to the form in which it is stored, so that what
// is kept in memory equals what a later owner reads.
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

// Quarantine keeps new tasks off a worker until a time. One with a zero Until
// lifts the quarantine.
type Quarantine struct {
	Worker model.WorkerID
	// Until is kept in whole milliseconds.
	Until time.Time
	Level uint32
}

// Lifted reports whether the record ends a quarantine.
func (q Quarantine) Lifted() bool { return q.Until.IsZero() }
