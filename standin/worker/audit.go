package worker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Rule is one of the invariants that Audit checks.
type Rule string

// The rules.
const (
	// OnePlace: at most one attempt of a task runs at any moment.
	OnePlace Rule = "runs in one place at a time"
	// WithinSize: the running tasks fit their worker in every dimension.
	WithinSize Rule = "committed within the worker's size"
	// NothingRefused: no start was sent for which the worker had no room.
	NothingRefused Rule = "no start beyond the worker's size"
	// AttemptOnce: each attempt of a task starts at most once, on any worker.
	AttemptOnce Rule = "an attempt begins once"
	// ResumeOnce: after an owner has committed a run's success, or its stop with a
	// checkpoint, no run of the task starts from an earlier state.
	ResumeOnce Rule = "resumes once"
)

// Violation is a broken rule.
type Violation struct {
	Rule   Rule
	Task   string
	Worker model.WorkerID
	First  Run
	Second Run
	Count  int
}

// String describes the violation.
func (v Violation) String() string {
	switch v.Rule {
	case NothingRefused:
		return fmt.Sprintf("%s: worker %s, %d starts", v.Rule, v.Worker, v.Count)
	case WithinSize:
		return fmt.Sprintf("%s: worker %s at the start of %s#%d",
			v.Rule, v.Worker, v.First.Task, v.First.Attempt)
	}
	return fmt.Sprintf("%s: task %s: attempt %d on %s from %s (%s), attempt %d on %s from %s (%s)",
		v.Rule, v.Task,
		v.First.Attempt, v.First.Worker, v.First.StartedAt.Format(time.RFC3339Nano), v.First.End,
		v.Second.Attempt, v.Second.Worker, v.Second.StartedAt.Format(time.RFC3339Nano), v.Second.End)
}

// Audit checks the records of all agents of a cluster together.
func Audit(agents ...*Agent) []Violation {
	byTask := make(map[string][]Run)
	var found []Violation
	for _, a := range agents {
		runs := a.Runs()
		found = append(found, auditSize(a, runs)...)
		if n := a.Stats().RefusedRoom; n > 0 {
			found = append(found, Violation{Rule: NothingRefused, Worker: a.ID(), Count: n})
		}
		for _, r := range runs {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	for _, task := range slices.Sorted(maps.Keys(byTask)) {
		found = append(found, auditTask(task, byTask[task])...)
	}
	return found
}

// Attempts returns the number of runs of each task on all agents.
func Attempts(agents ...*Agent) map[string]int {
	counts := make(map[string]int)
	for _, a := range agents {
		for _, r := range a.Runs() {
			counts[r.Task]++
		}
	}
	return counts
}

// auditSize checks at each start that the running tasks fit the worker.
func auditSize(a *Agent, runs []Run) []Violation {
	var found []Violation
	for _, at := range runs {
		var sum model.Resources
		for _, r := range runs {
			if r.runsAt(at.StartedAt) {
				sum = sum.Add(r.Size)
			}
		}
		if !sum.Fits(a.Capacity()) {
			found = append(found, Violation{Rule: WithinSize, Worker: a.ID(), First: at})
		}
	}
	return found
}

// runsAt reports whether the run was running at t. The time of its end does not count.
func (r Run) runsAt(t time.Time) bool {
	return !r.StartedAt.After(t) && (r.End == "" || r.EndedAt.After(t))
}

// settled reports whether an owner received and committed the end of the run.
func (r Run) settled() bool { return r.Told && r.Forgotten }

// auditTask checks all runs of one task.
func auditTask(task string, runs []Run) []Violation {
	slices.SortStableFunc(runs, func(x, y Run) int {
		return cmp.Or(x.StartedAt.Compare(y.StartedAt), cmp.Compare(x.Attempt, y.Attempt))
	})
	var found []Violation
	for i, second := range runs {
		for _, first := range runs[:i] {
			if rule, broken := compare(first, second); broken {
				found = append(found, Violation{Rule: rule, Task: task, First: first, Second: second})
			}
		}
	}
	return found
}

// compare returns the rule that second breaks by starting after first started.
func compare(first, second Run) (Rule, bool) {
	switch {
	case first.runsAt(second.StartedAt):
		return OnePlace, true
	case first.Attempt == second.Attempt:
		return AttemptOnce, true
	case first.settled() && first.End == EndSucceeded:
		return ResumeOnce, true
	case first.settled() && first.End == EndStopped && first.Saved != "" && second.Resumed == first.Resumed:
		return ResumeOnce, true
	}
	return "", false
}
