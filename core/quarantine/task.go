package quarantine

import (
	"math"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// judgeTask says what becomes of a task that failed.
func (j *Evaluator) judgeTask(now time.Time, o Outcome) TaskVerdict {
	distinct := j.trustedFailures(o)
	blame := j.blame(now, o, distinct)
	failures := o.Failures
	if blame.Counts() {
		failures++
	}
	v := TaskVerdict{Blame: blame}
	if reason, over := j.over(o, blame, failures, distinct); over {
		v.GaveUp = &GaveUpError{Task: o.Task, Reason: reason, Failures: failures, Workers: distinct}
		return v
	}
	v.NotBefore = now.Add(j.backoff(o))
	return v
}

func (j *Evaluator) blame(now time.Time, o Outcome, distinct int) Blame {
	switch {
	case j.commonCause(now):
		return BlameCommon
	case j.suspect(o.Worker):
		return BlameWorker
	case distinct >= j.options.DistinctWorkers:
		return BlameTask
	}
	return BlameUnclear
}

// over says whether the task is given up. Failures on one worker alone do not
// use up its attempts, unless its workload bounds them itself: with no room
// elsewhere a good task meets the same bad worker again and again, and would be
// lost for it.
func (j *Evaluator) over(o Outcome, blame Blame, failures uint32, distinct int) (GiveUpReason, bool) {
	bound := o.MaxAttempts
	if bound <= 0 {
		bound = j.options.MaxAttempts
	}
	switch {
	case blame == BlameTask:
		return FailsEverywhere, true
	case blame.Counts() && failures >= uint32(bound) && (distinct > 1 || o.MaxAttempts > 0):
		return AttemptsExhausted, true
	case j.tasks[o.Task].streak >= j.options.HardFailures:
		return AttemptsExhausted, true
	}
	return "", false
}

// trustedFailures counts the distinct workers above suspicion on which a task
// failed, by the ledger's record and this outcome.
func (j *Evaluator) trustedFailures(o Outcome) int {
	seen := map[model.WorkerID]struct{}{}
	for _, w := range append([]model.WorkerID{o.Worker}, o.FailedWorkers...) {
		if !j.suspect(w) {
			seen[w] = struct{}{}
		}
	}
	return len(seen)
}

// backoff doubles with each failure in a row and is spread by up to a quarter
// either way, so that tasks that failed together do not come back together.
func (j *Evaluator) backoff(o Outcome) time.Duration {
	exponent := max(o.Failures, j.tasks[o.Task].streak-1)
	wait := float64(j.options.Backoff) * math.Pow(2, float64(min(exponent, 30)))
	wait = math.Min(wait, float64(j.options.MaxBackoff))
	return time.Duration(wait * (0.75 + 0.5*jitter(o)))
}
