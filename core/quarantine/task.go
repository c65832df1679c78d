package quarantine

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// evaluateTask attributes the failure of a task to a cause, and decides whether
// the task is given up or when it is retried.
func (ev *Evaluator) evaluateTask(now time.Time, o Outcome) TaskVerdict {
	distinct := ev.trustedFailures(o)
	blame := ev.blame(now, o, distinct)
	failures := o.Failures
	if blame.Counts() {
		failures++
	}
	v := TaskVerdict{Blame: blame}
	if reason, over := ev.giveUpReason(o, blame, failures, distinct); over {
		v.GaveUp = &GaveUpError{Task: o.Task, Reason: reason, Failures: failures, Workers: distinct}
		return v
	}
	v.NotBefore = now.Add(ev.backoff(o))
	return v
}

func (ev *Evaluator) blame(now time.Time, o Outcome, distinct int) Blame {
	switch {
	case ev.commonCause(now):
		return BlameCommon
	case ev.isSuspect(o.Worker):
		return BlameWorker
	case distinct >= ev.options.DistinctWorkers:
		return BlameTask
	}
	return BlameUnclear
}

// giveUpReason reports whether the task is given up, and why. Failures on a
// single worker do not exhaust the default number of attempts, only a limit that
// the workload itself declares: if no other worker has room, a good task is
// retried on the same bad worker repeatedly and would be given up because of it.
func (ev *Evaluator) giveUpReason(o Outcome, blame Blame, failures uint32, distinct int) (GiveUpReason, bool) {
	limit := o.MaxAttempts
	if limit <= 0 {
		limit = ev.options.MaxAttempts
	}
	switch {
	case blame == BlameTask:
		return FailsEverywhere, true
	case blame.Counts() && failures >= uint32(limit) && (distinct > 1 || o.MaxAttempts > 0):
		return AttemptsExhausted, true
	case ev.tasks[o.Task].consecutiveFailures >= ev.options.HardFailures:
		return AttemptsExhausted, true
	}
	return "", false
}

// trustedFailures returns the number of distinct workers that are not suspect
// and on which the task failed, including the worker of this outcome.
func (ev *Evaluator) trustedFailures(o Outcome) int {
	seen := map[model.WorkerID]struct{}{}
	for _, w := range append([]model.WorkerID{o.Worker}, o.FailedWorkers...) {
		if !ev.isSuspect(w) {
			seen[w] = struct{}{}
		}
	}
	return len(seen)
}

// backoff returns the delay before the next attempt. It doubles with each
// consecutive failure up to Options.MaxBackoff and is varied by up to a quarter
// either way, so that tasks that failed together are not retried together.
func (ev *Evaluator) backoff(o Outcome) time.Duration {
	exponent := max(o.Failures, ev.tasks[o.Task].consecutiveFailures-1)
	wait := float64(ev.options.Backoff) * math.Pow(2, float64(min(exponent, 30)))
	wait = math.Min(wait, float64(ev.options.MaxBackoff))
	return time.Duration(wait * (0.75 + 0.5*jitter(o)))
}
