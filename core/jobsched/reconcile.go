package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/joblog"
)

// reconcile compares the attempts in a worker's report, which was requested at
// sentAt, with those that the machine knows.
func (m *Machine) reconcile(w *worker, sentAt time.Time, report Report) {
	m.lastReport++
	for i := range report.Running {
		r := &report.Running[i]
		a := w.attempts.Get(attemptKey{task: r.Key, attempt: r.Attempt})
		if a == nil {
			a = m.adoptRunning(w, r)
		}
		a.listedIn = m.lastReport
		m.observe(a, r)
	}
	if len(report.Ended) >= maxReportedEnds {
		// The end of an attempt that is not listed may be among the ends that did
		// not fit.
		return
	}
	for _, a := range w.attempts.All() {
		if a.listedIn != m.lastReport && a.isOverBy(sentAt) {
			m.noteAttempt(joblog.MessageAttemptMissing, a, "not in the worker's report")
			if a.previousWorker != nil {
				m.countAttemptCrash(a, a.previousWorker)
			}
			m.endAttempt(a, endLost, "")
			m.prepareRestart(a.task)
		}
	}
}

// isOverBy reports whether an attempt missing from a report requested at sentAt is
// over: before sentAt it was known to be running, or its stop had been
// acknowledged.
func (a *attempt) isOverBy(sentAt time.Time) bool {
	switch a.phase {
	case phaseRunning:
		return a.startedAt.Before(sentAt)
	case phaseDoubtful, phaseStopping:
		return !a.stopAckedAt.IsZero() && a.stopAckedAt.Before(sentAt)
	}
	return false
}

// adoptRunning adds a reported attempt that the machine did not start or had
// declared lost. It is kept if its task has no other attempt, and stopped
// otherwise.
func (m *Machine) adoptRunning(w *worker, r *RunningAttempt) *attempt {
	delete(w.lost, attemptKey{task: r.Key, attempt: r.Attempt})
	if m.unreadable[r.Key.Job] != nil {
		return m.addOrphan(w, r)
	}
	t := m.task(r.Key)
	if t == nil || t.done {
		a := m.addOrphan(w, r)
		m.requestStop(a, stopUnneeded, "no task needs it")
		return a
	}
	if a := m.moveFromOtherIncarnation(t, w, r.Attempt); a != nil {
		return a
	}
	m.dropSuperseded(t, r.Attempt)
	alone, beside := t.idle(), m.mayStayBeside(t)
	m.recordAdopted(t, r.Attempt)
	a := m.addAttempt(t, w, r.Attempt, phaseRunning)
	a.startedAt = m.now
	a.adopted, a.throttleUnknown = true, a.bestEffortCPU > 0
	a.percent = r.Percent
	a.resetPace(m.now)
	a.pace.untimed = max(a.pace.untimed, untimedOnAdoption)
	a.applyInheritedRunTime()
	a.applyInheritedStall(r.Percent)
	m.adoptTrial(t, r.Attempt, w.id)
	switch {
	case beside:
		m.adoptCopy(t)
	case !alone:
		m.requestStop(a, stopSuperseded, "its task has another attempt")
		return a
	}
	m.markBegun(t)
	t.step.job().seenRunning = true
	m.noteAttempt(joblog.MessageAttemptAdopted, a, "an earlier leader started it")
	return a
}

// observe updates an attempt from a worker's report.
func (m *Machine) observe(a *attempt, r *RunningAttempt) {
	a.previousWorker = nil
	a.listed = true
	if a.phase == phaseStarting || a.phase == phaseDoubtful {
		m.markRunning(a)
		a.pace.untimed = max(a.pace.untimed, untimedOnAdoption)
	}
	m.observePercent(a, r.Percent)
	a.reading = r.Reading
	a.readAt = m.now
	if a.task == nil || r.Checkpoint == "" || r.Checkpoint == a.task.checkpoint {
		return
	}
	a.task.checkpoint = r.Checkpoint
	if a.step().spec.Gang {
		a.step().checkpoint = r.Checkpoint
	}
}
