package jobsched

import (
	"github.com/guavarill/guavarill/core/workerhealth"
	"slices"
	"time"
)

// recoverWorker adds a worker from the roster of an earlier leader. valid is
// whether the guarantees in the roster may be relied on, and age is the minimum
// time since it was written.
func (m *Machine) recoverWorker(e RosterEntry, valid bool, age time.Duration) {
	w := newWorker(e.WorkerEntry)
	w.full = e.FullCapacity()
	w.onRoster = true
	if valid && e.SilentFor > 0 {
		w.lastReportAt = m.recoveredAt.Add(-e.SilentFor - age)
	}
	if valid {
		w.health = workerhealth.Recover(e.Health, m.recoveredAt.Add(-age))
		w.rosterStatus.failures = w.health.Failures()
		m.recoverSpeed(w, e.Slowness)
		w.rosterStatus.slow, w.rosterStatus.unproven = w.speed.slow, w.speed.unproven
	}
	m.addIncarnation(w)
	m.startTimesReported = m.startTimesReported || w.id.StartedMs != 0
	w.leaseBound = later(w.leaseBound, m.earlierLeasesEnd())
	if valid && e.LeaseLeft != nil {
		w.leaseBound = m.recoveredAt.Add(*e.LeaseLeft - age)
	}
	if valid && e.Closed {
		m.inherit(w, e.Attempts, age)
		return
	}
	w.attemptsUnknown = true
	m.unresolved.Set(w.id, w.leaseBound)
}

// inherit adds the attempts that an earlier leader left on a worker. Until the
// worker has answered, they count like unanswered starts: their tasks are not
// started elsewhere before the leases there have ended. age is the minimum time since
// the roster was written.
func (m *Machine) inherit(w *worker, attempts []RosterAttempt, age time.Duration) {
	for _, r := range attempts {
		key := attemptKey{task: r.Task, attempt: r.Attempt}
		t := m.task(r.Task)
		switch {
		case w.attempts.Has(key):
		case r.Lost:
			w.lost[key] = struct{}{}
			if t != nil {
				t.attemptLost = true
			}
		case t != nil && !t.done:
			m.addAttempt(t, w, r.Attempt, phaseDoubtful).inherited = true
			if r.SeenFor > 0 {
				w.inheritedRunTimes[key] = inheritedRunTime{seen: r.SeenFor, at: m.recoveredAt.Add(-r.SeenAgo - age), fromStart: r.SeenFromStart}
			}
			if r.StalledFor > 0 {
				w.inheritedStalls[key] = inheritedStall{percent: r.Percent, since: m.recoveredAt.Add(-r.StalledFor)}
			}
		case m.unreadable[r.Task.Job] != nil:
			a := m.addOrphan(w, &RunningAttempt{Key: r.Task, Attempt: r.Attempt})
			a.phase, a.inherited = phaseDoubtful, true
		}
	}
}

// dropInherited drops the inherited attempts of a worker that has just answered.
// Its report replaces them in the same step.
func (m *Machine) dropInherited(w *worker) {
	for _, a := range w.attempts.All() {
		if a.inherited {
			m.dropInheritedAttempt(a)
		}
	}
}

// dropSuperseded drops the inherited attempts of a task with a lower number than
// the given one. The leader that started that one knew that the others were over,
// and the roster that lists them was written before. An attempt with a copy is not over.
func (m *Machine) dropSuperseded(t *task, number int) {
	if m.allowsCopies(t.step) {
		return
	}
	for _, a := range slices.Clone(t.attempts) {
		if a.inherited && a.key.attempt < number {
			m.dropInheritedAttempt(a)
		}
	}
}

// dropInheritedAttempt drops an inherited attempt because a report replaces it. The
// trial of its task does not end with it: the report may list the attempt.
func (m *Machine) dropInheritedAttempt(a *attempt) {
	t, kept := a.task, trial{}
	if t != nil {
		kept = t.trial
	}
	m.endAttempt(a, endLost, "")
	if kept.inherited {
		t.trial = kept
	}
}
