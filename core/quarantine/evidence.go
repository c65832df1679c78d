package quarantine

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// maxFailures bounds the failures that are remembered of a worker.
const maxFailures = 64

// taskFailure is the latest failure of a task on a worker.
type taskFailure struct {
	task model.TaskKey
	at   time.Time
}

// workerRecord is what is known of one worker.
type workerRecord struct {
	failures []taskFailure
	// succeeded holds the tasks that succeeded here, with the latest time.
	succeeded map[model.TaskKey]time.Time
	// latestFailed and latestAt describe the latest outcome.
	latestFailed bool
	latestAt     time.Time

	state     State
	until     time.Time
	level     uint32
	openSince time.Time
	// probationTasks holds the tasks that worked during this probation.
	probationTasks map[model.TaskKey]struct{}
	// evidenceFrom is the time from which failures count: those before the end
	// of the latest quarantine were paid for by it.
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
		// The oldest stay: proof against the worker comes when their tasks have
		// worked elsewhere. A worker that fails many at once would otherwise
		// push its own evidence out before any of it is proven.
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

// prune drops evidence from before horizon.
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

// history is where a task or a workload worked and failed, by worker.
type history struct {
	succeeded map[model.WorkerID]time.Time
	failed    map[model.WorkerID]time.Time
	// consecutiveFailures is how many failures there were since it last worked.
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

// succeededElsewhere reports whether it worked on another worker at or after
// since.
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
