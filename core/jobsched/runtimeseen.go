package jobsched

import (
	"slices"
	"time"
)

// A worker does not report for how long an attempt has been running. A leader knows
// what it has seen itself; if it did not hand that on, the time of a trial would begin
// anew with each leader, and while leaders change faster than a trial takes, the other
// tasks of the step would never be started.

// inheritedRunTime is how long earlier leaders have seen an attempt running, up to the
// report that arrived at the given time. fromStart is whether that is the time since
// its start.
type inheritedRunTime struct {
	seen      time.Duration
	at        time.Time
	fromStart bool
}

// needsRunTime reports whether the next leader needs to know how long the attempt has
// been seen running: the step's starts depend on that, or the worker is silent and may
// have ended. crashed caches which steps have tasks with crashes.
func (a *attempt) needsRunTime(crashed map[*step]bool) bool {
	if a.task == nil {
		return false
	}
	s := a.step()
	has, known := crashed[s]
	if !known {
		has = slices.ContainsFunc(s.tasks, func(t *task) bool { return len(t.crashes) > 0 })
		crashed[s] = has
	}
	return has || !a.worker.unreachableSince.IsZero() || !a.worker.answered
}

// addRunTime adds to an attempt on the roster for how long it has been seen running, by
// this leader or earlier ones, and how long ago that was last seen.
func (a *attempt) addRunTime(r *RosterAttempt, now time.Time) {
	if earlier, ok := a.worker.inheritedRunTimes[a.key]; ok {
		r.SeenFor, r.SeenAgo, r.SeenFromStart = earlier.seen, now.Sub(earlier.at), earlier.fromStart
		return
	}
	if seen := a.observedRunTime(); seen > 0 {
		r.SeenFor, r.SeenFromStart = seen, !a.adopted || a.seenFromStart
		r.SeenAgo = now.Sub(a.worker.lastReportAt).Round(time.Millisecond)
	}
}

// applyInheritedRunTime adds the time for which the attempt has been running under
// earlier leaders. It is called when a report lists the attempt, which has thus been
// running since their last report as well.
func (a *attempt) applyInheritedRunTime() {
	earlier, ok := a.worker.inheritedRunTimes[a.key]
	if !ok {
		return
	}
	a.seenBefore = earlier.seen + max(a.startedAt.Sub(earlier.at), 0)
	a.seenFromStart = earlier.fromStart
	delete(a.worker.inheritedRunTimes, a.key)
}
