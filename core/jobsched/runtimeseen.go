package jobsched

import (
	"slices"
	"time"
)

// A worker does not report for how long an attempt has been running. A leader knows
// what it has seen itself; if it did not hand that on, the time of a trial would begin
// anew with each leader, and while leaders change faster than a trial takes, the other
// tasks of the step would never be started.

// seenRunTimeOf returns for how long an attempt has been seen running, by this leader
// or earlier ones, if the step's starts depend on that; else 0. crashed caches which
// steps have tasks with crashes.
func (w *worker) seenRunTimeOf(a *attempt, crashed map[*step]bool) time.Duration {
	if a.task == nil {
		return 0
	}
	s := a.step()
	has, known := crashed[s]
	if !known {
		has = slices.ContainsFunc(s.tasks, func(t *task) bool { return len(t.crashes) > 0 })
		crashed[s] = has
	}
	if !has {
		return 0
	}
	return min(max(a.observedRunTime(), w.inheritedRunTimes[a.key]), stableRunTime)
}

// applyInheritedRunTime adds the time for which earlier leaders have seen the attempt
// running. The time between their last report and now does not count.
func (a *attempt) applyInheritedRunTime() {
	a.seenBefore = a.worker.inheritedRunTimes[a.key]
	delete(a.worker.inheritedRunTimes, a.key)
}
