package quarantine

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// maxFailures limits the failures that are kept for each worker.
const maxFailures = 64

// taskFailure is the latest failure of a task on a worker.
type taskFailure struct {
	task model.TaskKey
	at   time.Time
}

// workerRecord holds the evidence about one worker and its state.
type workerRecord struct {
	failures []taskFailure
	// succeeded holds the tasks that succeeded on the worker, each with the
	// latest time.
	succeeded map[model.TaskKey]time.Time
	// latestFailed and latestAt are the result and the time of the latest
	// outcome.
	latestFailed bool
	latestAt     time.Time

	state     State
	until     time.Time
	level     uint32
	openSince time.Time
	// probationTasks holds the tasks that succeeded during this probation.
	probationTasks map[model.TaskKey]struct{}
	// evidenceFrom is the time from which on failures count. Failures before
	// the end of the latest quarantine do not lead to another one.
	evidenceFrom time.Time
}

func newWorkerRecord() *workerRecord {
	return &workerRecord{
		succeeded:      make(map[model.TaskKey]time.Time),
		probationTasks: make(map[model.TaskKey]struct{}),
	}
}

func (r *workerRecord) recordFailure(now time.Time, task model.TaskKey) {
	r.latestFailed, r.latestAt = true, now
	for i := range r.failures {
		if r.failures[i].task == task {
			r.failures[i].at = now
			return
		}
	}
	if len(r.failures) == maxFailures {
		// Drop the new failure and keep the oldest ones. A failure becomes proof
		// only after its task succeeded elsewhere; a worker that fails many
		// tasks at once would otherwise displace its own evidence before any
		// of it is proven.
		return
	}
	r.failures = append(r.failures, taskFailure{task, now})
}

func (r *workerRecord) recordSuccess(now time.Time, task model.TaskKey) {
	r.latestFailed, r.latestAt = false, now
	r.succeeded[task] = now
	for i := range r.failures {
		if r.failures[i].task == task {
			r.failures = append(r.failures[:i], r.failures[i+1:]...)
			return
		}
	}
}

// prune deletes evidence from before horizon.
func (r *workerRecord) prune(horizon time.Time) {
	kept := r.failures[:0]
	for _, f := range r.failures {
		if !f.at.Before(horizon) {
			kept = append(kept, f)
		}
	}
	r.failures = kept
	for task, at := range r.succeeded {
		if at.Before(horizon) {
			delete(r.succeeded, task)
		}
	}
}

// history holds the latest success and failure of a task or a workload on each
// worker.
type history struct {
	succeeded map[model.WorkerID]time.Time
	failed    map[model.WorkerID]time.Time
	// consecutiveFailures is the number of failures since the latest success.
	// It is counted for tasks only.
	consecutiveFailures uint32
}

func newHistory() *history {
	return &history{
		succeeded: make(map[model.WorkerID]time.Time),
		failed:    make(map[model.WorkerID]time.Time),
	}
}

func (h *history) prune(horizon time.Time) {
	for w, at := range h.succeeded {
		if at.Before(horizon) {
			delete(h.succeeded, w)
		}
	}
	for w, at := range h.failed {
		if at.Before(horizon) {
			delete(h.failed, w)
		}
	}
}

func (h *history) empty() bool { return len(h.succeeded) == 0 && len(h.failed) == 0 }

// succeededElsewhere reports whether the task or workload succeeded on another
// worker at or after since. It returns false for a nil history.
func (h *history) succeededElsewhere(than model.WorkerID, since time.Time) bool {
	if h == nil {
		return false
	}
	for w, at := range h.succeeded {
		if w != than && !at.Before(since) {
			return true
		}
	}
	return false
}
