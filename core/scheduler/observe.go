package scheduler

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/quarantine"
)

// ObservationKind is the state of an attempt as a worker session reports it.
type ObservationKind uint8

// The kinds of observation. All except ObservedRunning mean that the attempt
// has ended for certain.
const (
	ObservedRunning ObservationKind = iota + 1
	ObservedSucceeded
	ObservedFailed
	// ObservedStopped means that the attempt was stopped on request, or by the
	// agent because its lease expired.
	ObservedStopped
	// ObservedRefused means that the worker started nothing because it had no
	// room or no valid grant.
	ObservedRefused
	// ObservedLost means that the attempt ended without a report: its lease
	// must have expired by now, or the worker restarted.
	ObservedLost
)

// Observation is a report on one attempt from the session of its worker.
type Observation struct {
	Attempt model.AttemptKey
	Worker  model.WorkerID
	Kind    ObservationKind
	// Address is where a running instance of a service accepts requests.
	Address string
	// Checkpoint refers to the progress that was saved when the attempt
	// stopped; it is empty if none was saved.
	Checkpoint string
	// Detail is the cause of a failure, for people to read.
	Detail string
}

// RefusedRetry is the delay before a task that a worker refused is placed
// again. A worker's own count of its free resources lags behind the ledger's
// while tasks started by a previous owner of the shard end there.
const RefusedRetry = time.Second

// Observer turns observations into changes of one shard's ledger.
type Observer struct {
	Ledger    Ledger
	Evaluator *quarantine.Evaluator
	// MaxAttempts returns the limit on counted failures of a workload's tasks;
	// 0 selects the default of the evaluator.
	MaxAttempts func(workload string) int
}

// Observe returns the ledger changes that follow from one observation. It
// returns none for a repeated observation, or for an attempt other than the
// task's current one.
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
		return endAttempt(t, o)
	default:
		t.NotBefore = time.Time{}
		return endAttempt(t, o)
	}
}

// ObserveHealthy returns the ledger changes that follow from an attempt that
// has run long enough to count as a success of its worker. Only quarantines
// change; the task's record does not.
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
	return putChange(t)
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
	return append(putChange(t), workerChanges(verdict)...)
}

// observeFailed lets the evaluator attribute a failure to the task, the worker
// or a common cause. The failure of a task that is being stopped for good is
// not evaluated: the task ends in any case, and its failure is no evidence.
func (ob *Observer) observeFailed(now time.Time, t ledger.Task, o Observation) []ledger.Change {
	if t.State == ledger.Stopping && !t.Resume {
		return endAttempt(t, o)
	}
	verdict := ob.Evaluator.Observe(now, ob.outcome(t, quarantine.Failed))
	if verdict.Task.Blame.Counts() {
		t.Failures++
		t.FailedWorkers = appendWorker(t.FailedWorkers, t.Worker)
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
	return append(putChange(t), workerChanges(verdict)...)
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

// endAttempt returns the change of a task whose attempt ended before its work
// was done. A task that was being stopped for good becomes cancelled. Any
// other task becomes pending, to resume from its last checkpoint.
func endAttempt(t ledger.Task, o Observation) []ledger.Change {
	if t.State == ledger.Stopping && !t.Resume {
		t.State = ledger.Cancelled
		t.Address = ""
		return putChange(t)
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
	return putChange(t)
}

func putChange(t ledger.Task) []ledger.Change {
	return []ledger.Change{{Put: &t}}
}

// maxFailedWorkers limits the number of workers in a task's list of failed
// workers. The oldest entries are dropped.
const maxFailedWorkers = 8

func appendWorker(list []model.WorkerID, w model.WorkerID) []model.WorkerID {
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

// NeedsSync reports whether the ledger must be compared with the configuration
// again after a committed change. That is so when a task holds no resources
// and its generation is not in force, or when it is pending and its workload
// is cancelled: only the comparison updates or removes such a record.
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

// HasUrgent reports whether an urgent task depends on one of the changes: the
// change is of an urgent task, or of a task that is preempted for one.
func HasUrgent(changes []ledger.Change) bool {
	return slices.ContainsFunc(changes, func(c ledger.Change) bool {
		return c.Put != nil && (c.Put.Priority == model.PriorityUrgent || c.Put.Reason == ReasonPreempted)
	})
}
