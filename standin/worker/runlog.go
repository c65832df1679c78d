package worker

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// EndKind is how a run ended.
type EndKind string

// The ends of a run. EndKind is empty for a run that has not ended.
const (
	EndSucceeded    EndKind = "succeeded"
	EndFailed       EndKind = "failed"
	EndStopped      EndKind = "stopped"
	EndLeaseExpired EndKind = "lease expired"
	EndLost         EndKind = "lost"
)

// Run is one attempt that an agent ran.
type Run struct {
	Worker  model.WorkerID
	Boot    int
	Task    string
	Attempt uint32
	Size    model.Resources
	// Resumed is the checkpoint that it started from, Saved the one that it made
	// at its end.
	Resumed   string
	Saved     string
	StartedAt time.Time
	EndedAt   time.Time
	End       EndKind
	// Told is whether a response that reports its end reached an owner.
	// Forgotten is whether an owner has acknowledged with a Forget that it has
	// committed the end.
	Told      bool
	Forgotten bool
}

// Runs returns copies of all runs over all boots, in order of their starts.
func (a *Agent) Runs() []Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	runs := make([]Run, len(a.runs))
	for i, r := range a.runs {
		runs[i] = *r
	}
	return runs
}

// Delivered records that a response reached the owner.
func (a *Agent) Delivered(resp *workerv1.ApplyResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range resp.GetTasks() {
		if t.GetState() == workerv1.TaskState_TASK_STATE_RUNNING {
			continue
		}
		r := a.records[t.GetTask()]
		if r != nil && r.run != nil && r.attempt == t.GetAttempt() {
			r.run.Told = true
		}
	}
}
