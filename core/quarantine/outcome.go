package quarantine

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Result is the result of an attempt.
type Result uint8

// The results of an attempt.
const (
	// Failed means that the task ended with an error or could not be started.
	// Evicted, cancelled and lost attempts are not failures.
	Failed Result = iota
	// Succeeded means that a batch task ran to completion.
	Succeeded
	// Healthy means that the attempt has run well past the time at which tasks
	// of its workload fail. It counts as a success. Services and long-running
	// tasks do not run to completion, so this is their only evidence in favour
	// of a worker.
	Healthy
)

// Outcome is the result of one attempt of a task on a worker.
type Outcome struct {
	Task    model.TaskKey
	Attempt model.Attempt
	Worker  model.WorkerID
	Result  Result
	// Failures and FailedWorkers are the task's counted failures and their
	// distinct workers before this outcome, as recorded in the ledger.
	Failures      uint32
	FailedWorkers []model.WorkerID
	// MaxAttempts is the workload's limit on counted failures; 0 selects
	// Options.MaxAttempts.
	MaxAttempts int
}

// Blame is the cause that a failure is attributed to.
type Blame uint8

// The causes of a failure.
const (
	// BlameNobody means that there was no failure.
	BlameNobody Blame = iota
	// BlameUnclear means that the evidence does not decide between the task and
	// the worker. The task is retried elsewhere, and the failure is counted.
	BlameUnclear
	// BlameTask means that the task failed on several workers that are not
	// suspect.
	BlameTask
	// BlameWorker means that the worker is suspect. The failure is not counted
	// against the task.
	BlameWorker
	// BlameCommon means that most workers fail at the same time. The failure is
	// not counted against the task.
	BlameCommon
)

var blameNames = [...]string{"nobody", "unclear", "task", "worker", "common cause"}

// String returns the name of the cause.
func (b Blame) String() string {
	if int(b) >= len(blameNames) {
		return "invalid"
	}
	return blameNames[b]
}

// Counts reports whether the failure is added to the task's counted failures,
// and its worker to the task's failed workers.
func (b Blame) Counts() bool { return b == BlameUnclear || b == BlameTask }

// GiveUpReason is the reason why a task is not retried.
type GiveUpReason string

// The reasons for giving a task up.
const (
	// FailsEverywhere means that the task failed on Options.DistinctWorkers
	// workers that are not suspect.
	FailsEverywhere GiveUpReason = "failed on several workers"
	// AttemptsExhausted means that the limit on counted failures, or on
	// consecutive failures, is reached.
	AttemptsExhausted GiveUpReason = "attempts exhausted"
)

// GaveUpError describes why a task was given up.
type GaveUpError struct {
	Task   model.TaskKey
	Reason GiveUpReason
	// Failures is the number of counted failures, and Workers the number of
	// distinct workers that are not suspect on which the task failed.
	Failures uint32
	Workers  int
}

// TaskVerdict is the result of evaluating a task's outcome.
type TaskVerdict struct {
	Blame Blame
	// NotBefore is the earliest time of the next attempt, or zero after a
	// success or if the task was given up.
	NotBefore time.Time
	// GaveUp is not nil if the task must not be retried.
	GaveUp *GaveUpError
}

// State determines how much new work a worker may get.
type State uint8

// The states of a worker.
const (
	// Open means that the worker may get as many tasks as fit.
	Open State = iota
	// Probation means that the worker may run one task at a time.
	Probation
	// Quarantined means that the worker may get no task.
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

// WorkerVerdict is a change of a worker's state, to be recorded in the ledger.
type WorkerVerdict struct {
	Worker model.WorkerID
	State  State
	// Until is the end of the quarantine, or zero if State is not Quarantined.
	Until time.Time
	// Level is the number of quarantines, lowered with the time for which the
	// worker is open.
	Level uint32
}

// Verdict is the result of evaluating one outcome.
type Verdict struct {
	Task TaskVerdict
	// Worker is not nil if the state or level of the outcome's worker changed.
	Worker *WorkerVerdict
	// Others holds the changes of other workers on which the task had failed,
	// ordered by worker.
	Others []WorkerVerdict
}
