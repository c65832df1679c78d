package jobsched

import (
	"slices"
	"time"
)

// idleCheck is the result of the last check whether anything of a job runs.
type idleCheck struct {
	at time.Time
	// attempts is the number of the job's attempts then.
	attempts int
	idle     bool
}

// isIdle reports whether no attempt of the job runs or is about to run, as far as
// known. An attempt on a worker that has been silent for some time is taken for one that
// does not run; its own task waits until that is certain, the others need not.
func (m *Machine) isIdle(j *jobState) bool {
	if j.attempts == 0 {
		return true
	}
	if c := &j.idleCheck; !c.at.Equal(m.now) || c.attempts != j.attempts {
		*c = idleCheck{at: m.now, attempts: j.attempts, idle: !m.hasWorkingAttempt(j)}
	}
	return j.idleCheck.idle
}

// hasWorkingAttempt reports whether an attempt of the job runs or is about to run.
func (m *Machine) hasWorkingAttempt(j *jobState) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if slices.ContainsFunc(t.attempts, m.isWorking) {
					return true
				}
			}
		}
	}
	return false
}

// isWorking reports whether the attempt runs or is about to run, as far as known.
func (m *Machine) isWorking(a *attempt) bool {
	w := a.worker
	silent := !w.unreachableSince.IsZero() && m.now.Sub(w.unreachableSince) >= rosterUnreachableAfter
	return !silent && !w.ended && a.phase != phaseDoubtful
}
