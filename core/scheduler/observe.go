package scheduler

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/quarantine"
)

// ObservationKind is what became of an attempt.
type ObservationKind uint8

// The kinds of observation. All but ObservedRunning say that the attempt is
// certainly over.
const (
	ObservedRunning ObservationKind = iota + 1
	ObservedSucceeded
	ObservedFailed
	// ObservedStopped: stopped by command, or by the agent when its lease ran out.
	ObservedStopped
	// ObservedRefused: the worker had no room or no valid grant; nothing started.
	ObservedRefused
	// ObservedLost: over without a report, by the bound on its lease or because
	// the worker restarted.
	ObservedLost
)

// Observation is news of one attempt from its worker's session.
type Observation struct {
	Attempt    model.AttemptKey
	Worker     model.WorkerID
	Kind       ObservationKind
	Address    string
	Checkpoint string
	Detail     string
}

// RefusedRetry is how long a task waits after a worker refused it. The
// worker's own view of its room lags the ledger's while a predecessor's tasks
// end there.
const RefusedRetry = time.Second

// Observer turns observations into changes of one shard's ledger.
type Observer struct {
	Ledger    Ledger
	Evaluator *quarantine.Evaluator
	// MaxAttempts returns a workload's bound on counted failures; 0 is the
	// judge's own.
	MaxAttempts func(workload string) int
}

// Observe returns what follows from one observation. News of another attempt
// than the one in the ledger, and repeats, change nothing.
func (ob *Observer) Observe(now time.Time, o Observation) []ledger.Change {
	t, known := ob.Ledger.Task(o.Attempt.Task)
	if !known || !t.State.HoldsRoom() || t.Attempt != o.Attempt.Attempt || t.Worker != o.Worker {
		return nil
	}
	switch o.Kind {
	case ObservedRunning:
		return observeRunning(t, o)
	case ObservedSucceeded:
		return ob.observeSucceeded(now, t, o)
	case ObservedFailed:
		return ob.observeFailed(now, t, o)
	case ObservedRefused:
		t.NotBefore = now.Add(RefusedRetry)
		return over(t, o)
	default:
		t.NotBefore = time.Time{}
		return over(t, o)
	}
}

// ObserveHealthy returns what follows from an attempt that has run long enough to
// speak for its worker. It changes quarantines only.
func (ob *Observer) ObserveHealthy(now time.Time, attempt model.AttemptKey) []ledger.Change {
	t, known := ob.Ledger.Task(attempt.Task)
	if !known || t.State != ledger.Running || t.Attempt != attempt.Attempt {
		return nil
	}
	return workerChanges(ob.Evaluator.Observe(now, ob.outcome(t, quarantine.Healthy)))
}

func observeRunning(t ledger.Task, o Observation) []ledger.Change {
	if t.State == ledger.Stopping {
		return nil
	}
	if t.State == ledger.Running && t.Address == o.Address {
		return nil
	}
	t.State = ledger.Running
	t.Address = o.Address
	return put(t)
}

func (ob *Observer) observeSucceeded(now time.Time, t ledger.Task, o Observation) []ledger.Change {
	if t.Service {
		o.Detail = "service ended by itself"
		return ob.observeFailed(now, t, o)
	}
	verdict := ob.Evaluator.Observe(now, ob.outcome(t, quarantine.Succeeded))
	t.State = ledger.Succeeded
	t.Reason = ""
	t.Address = ""
	return append(put(t), workerChanges(verdict)...)
}

// observeFailed asks the judge whom to blame. A task that was being stopped
// for good is over either way, and its failure is evidence of nothing.
func (ob *Observer) observeFailed(now time.Time, t ledger.Task, o Observation) []ledger.Change {
	if t.State == ledger.Stopping && !t.Resume {
		return over(t, o)
	}
	verdict := ob.Evaluator.Observe(now, ob.outcome(t, quarantine.Failed))
	if verdict.Task.Blame.Counts() {
		t.Failures++
		t.FailedWorkers = withWorker(t.FailedWorkers, t.Worker)
	}
	t.Address = ""
	t.Reason = "failed: " + o.Detail
	if gaveUp := verdict.Task.GaveUp; gaveUp != nil {
		t.State = ledger.Failed
		t.Reason = string(gaveUp.Reason) + ": " + o.Detail
	} else {
		t.State = ledger.Pending
		t.Worker = ""
		t.NotBefore = verdict.Task.NotBefore
		t.Resume = false
	}
	return append(put(t), workerChanges(verdict)...)
}

func (ob *Observer) outcome(t ledger.Task, result quarantine.Result) quarantine.Outcome {
	return quarantine.Outcome{
		Task:          t.Key,
		Attempt:       t.Attempt,
		Worker:        t.Worker,
		Result:        result,
		Failures:      t.Failures,
		FailedWorkers: t.FailedWorkers,
		MaxAttempts:   ob.MaxAttempts(t.Key.Workload),
	}
}

// over returns the record of a task whose attempt ended before its work was
// done: it ends for good when that was asked for, and else becomes pending, to
// resume from its last checkpoint.
func over(t ledger.Task, o Observation) []ledger.Change {
	if t.State == ledger.Stopping && !t.Resume {
		t.State = ledger.Cancelled
		t.Address = ""
		return put(t)
	}
	if t.State == ledger.Stopping {
		t.Evictions++
		t.NotBefore = time.Time{}
	}
	if o.Checkpoint != "" {
		t.Checkpoint = o.Checkpoint
	}
	t.State = ledger.Pending
	t.Worker = ""
	t.Address = ""
	t.Resume = false
	if t.Reason != ReasonPreempted {
		t.Reason = ""
	}
	return put(t)
}

func put(t ledger.Task) []ledger.Change {
	return []ledger.Change{{Put: &t}}
}

// maxFailedWorkers bounds how many distinct workers a task's record names.
const maxFailedWorkers = 8

func withWorker(list []model.WorkerID, w model.WorkerID) []model.WorkerID {
	if slices.Contains(list, w) {
		return list
	}
	list = append(slices.Clone(list), w)
	return list[max(0, len(list)-maxFailedWorkers):]
}

func workerChanges(v quarantine.Verdict) []ledger.Change {
	verdicts := v.Others
	if v.Worker != nil {
		verdicts = append([]quarantine.WorkerVerdict{*v.Worker}, verdicts...)
	}
	var changes []ledger.Change
	for _, w := range verdicts {
		changes = append(changes, ledger.Change{Quarantine: &ledger.Quarantine{
			Worker: w.Worker,
			Until:  w.Until,
			Level:  w.Level,
		}})
	}
	return changes
}

// NeedsSync reports whether a committed change leaves a record that only a
// comparison with the configuration will remove: a task of a generation that
// is not in force came to rest.
func NeedsSync(c *config.Accepted, change ledger.Change) bool {
	if c == nil || change.Put == nil && change.Receive == nil {
		return false
	}
	t := change.Put
	if t == nil {
		t = &change.Receive.Task
	}
	if t.State.HoldsRoom() {
		return false
	}
	w, named := c.Workloads[t.Key.Workload]
	return !named || w.Generation != t.Key.Generation || w.Cancelled && t.State == ledger.Pending
}

// HasUrgent reports whether urgent work waits for one of the changes: they are of
// an urgent task, or of one that makes room for one.
func HasUrgent(changes []ledger.Change) bool {
	return slices.ContainsFunc(changes, func(c ledger.Change) bool {
		return c.Put != nil && (c.Put.Priority == model.PriorityUrgent || c.Put.Reason == ReasonPreempted)
	})
}
