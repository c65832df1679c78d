package quarantine

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// evaluateTask says what becomes of a task that failed.
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

// giveUpReason says whether the task is given up. Failures on one worker alone do not
// use up its attempts, unless its workload bounds them itself: with no room
// elsewhere a good task meets the same bad worker again and again, and would be
// lost for it.
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

// trustedFailures counts the distinct workers above suspicion on which a task
// failed, by the ledger's record and this outcome.
func (ev *Evaluator) trustedFailures(o Outcome) int {
	seen := map[model.WorkerID]struct{}{}
	for _, w := range append([]model.WorkerID{o.Worker}, o.FailedWorkers...) {
		if !ev.isSuspect(w) {
			seen[w] = struct{}{}
		}
	}
	return len(seen)
}

// backoff doubles with each failure in a row and is spread by up to a quarter
// either way, so that tasks that failed together do not come back together.
func (ev *Evaluator) backoff(o Outcome) time.Duration {
	exponent := max(o.Failures, ev.tasks[o.Task].consecutiveFailures-1)
	wait := float64(ev.options.Backoff) * math.Pow(2, float64(min(exponent, 30)))
	wait = math.Min(wait, float64(ev.options.MaxBackoff))
	return time.Duration(wait * (0.75 + 0.5*jitter(o)))
}
