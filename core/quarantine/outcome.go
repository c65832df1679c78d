package quarantine

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Result is how an attempt went.
type Result uint8

// The results of an attempt.
const (
	// Failed: the task ended with an error, or could not be started. Evicted,
	// cancelled and lost attempts are not failures.
	Failed Result = iota
	// Succeeded: a batch task ran to completion.
	Succeeded
	// Healthy: the attempt has run well past the time at which tasks of its
	// workload fail. Services and long-running tasks never succeed, so this is
	// the evidence they give.
	Healthy
)

// Outcome is what happened to one attempt of a task on a worker.
type Outcome struct {
	Task    model.TaskKey
	Attempt model.Attempt
	Worker  model.WorkerID
	Result  Result
	// Failures and FailedWorkers are the ledger's record of the task before
	// this outcome: its counted failures and the distinct workers of them.
	Failures      uint32
	FailedWorkers []model.WorkerID
	// MaxAttempts is the workload's bound on counted failures; 0 stands for
	// Options.MaxAttempts.
	MaxAttempts int
}

// Blame says whom a failure is charged to.
type Blame uint8

// The blames.
const (
	// BlameNobody: there was no failure.
	BlameNobody Blame = iota
	// BlameUnclear: the task is to be tried elsewhere. It counts against the
	// task until the evidence says otherwise.
	BlameUnclear
	// BlameTask: the task failed on several workers above suspicion.
	BlameTask
	// BlameWorker: the worker is under suspicion. It does not count against
	// the task.
	BlameWorker
	// BlameCommon: most workers fail at the same time. It does not count
	// against the task.
	BlameCommon
)

var blameNames = [...]string{"nobody", "unclear", "task", "worker", "common cause"}

// String returns the blame's name.
func (b Blame) String() string {
	if int(b) >= len(blameNames) {
		return "invalid"
	}
	return blameNames[b]
}

// Counts reports whether the failure is to be added to the task's counted
// failures and its worker to the failed workers.
func (b Blame) Counts() bool { return b == BlameUnclear || b == BlameTask }

// GiveUpReason is why a task is not tried again.
type GiveUpReason string

// The reasons to give a task up.
const (
	FailsEverywhere   GiveUpReason = "failed on several workers"
	AttemptsExhausted GiveUpReason = "attempts exhausted"
)

// GaveUpError is the final state of a task that is not tried again.
type GaveUpError struct {
	Task     model.TaskKey
	Reason   GiveUpReason
	Failures uint32
	Workers  int
}

// TaskVerdict says what becomes of a task after a failure.
type TaskVerdict struct {
	Blame Blame
	// NotBefore is when it may be tried again; zero after a success.
	NotBefore time.Time
	// GaveUp is not nil when it is not to be tried again.
	GaveUp *GaveUpError
}

// State is what new work a worker may get.
type State uint8

// The states of a worker.
const (
	// Open: as much as fits.
	Open State = iota
	// Probation: one task at a time.
	Probation
	// Quarantined: none.
	Quarantined
)

var stateNames = [...]string{"open", "probation", "quarantined"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// WorkerVerdict is a change of a worker's state, to be kept in the ledger.
type WorkerVerdict struct {
	Worker model.WorkerID
	State  State
	// Until is the end of the quarantine.
	Until time.Time
	Level uint32
}

// Verdict is what follows from one outcome.
type Verdict struct {
	Task TaskVerdict
	// Worker is not nil when the worker's state or level changed.
	Worker *WorkerVerdict
	// Others are the changes of other workers that this outcome's evidence
	// decided, in order of worker.
	Others []WorkerVerdict
}
