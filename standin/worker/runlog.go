package worker

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// EndKind is how a run ended.
type EndKind string

// The ends of a run; a run that goes on has none.
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
	// Resumed is the checkpoint it began from, Saved the one it left.
	Resumed   string
	Saved     string
	StartedAt time.Time
	EndedAt   time.Time
	End       EndKind
	// Told is whether an answer with its end reached an owner, Forgotten
	// whether an owner that had committed its end said so.
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

// Delivered notes that an answer reached the owner.
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
