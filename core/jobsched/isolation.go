package jobsched

import (
	"slices"
	"time"
)

// Suspect tasks, those with suspicious crashes, are kept off each other's workers,
// and after repeated crashes run isolated, until they have run for longer than
// before their workers crashed. If they were placed together, all of them would be
// blamed for a crash that one caused, and a step whose tasks all crash their
// workers would take down that many workers at a time.

const (
	// isolateAfterSuspicious is the number of suspicious crashes from which a task
	// is isolated: its worker runs no other trial, and nothing new is started
	// there. isolateAfterCrashes is the same for crashes of any kind.
	isolateAfterSuspicious = 2
	isolateAfterCrashes    = 3
	// workersPerTrial is the number of workers per isolated trial: each trial may
	// cost a worker and everything that runs there.
	workersPerTrial = 8
	// defaultTrialTime is the length of a trial if it is unknown how long the
	// earlier attempts ran.
	defaultTrialTime = 2 * time.Second
)

// needsIsolation reports whether the task must run isolated. Members of a gang are
// never isolated, because they only run together.
func (t *task) needsIsolation() bool {
	repeated := t.crashes.Suspicious() >= isolateAfterSuspicious || len(t.crashes) >= isolateAfterCrashes
	return repeated && !t.step.spec.Gang
}

// isSuspect reports whether attempts of the task are kept apart from each other
// until they have run for longer than the crashed ones.
func (t *task) isSuspect() bool { return t.crashes.Suspicious() > 0 || t.needsIsolation() }

// trialTime returns how long an attempt of the task must be observed running to
// show that it has passed the point at which the earlier attempts crashed their
// workers.
func (t *task) trialTime() time.Duration {
	return t.crashes.LongestRunTime(defaultTrialTime) + reportDelay
}

// onTrial reports whether the attempt has not yet run for its task's trialTime, so
// that it may still crash its worker.
func (a *attempt) onTrial() bool {
	return a.observedRunTime() < a.task.trialTime()
}

// countTrials counts the tasks on trial, per worker and in total: those whose trial
// runs, and those whose trial is about to begin on a certain worker.
func (m *Machine) countTrials() {
	m.usableWorkers = 0
	for _, w := range m.workers.All() {
		w.trials, w.isolatedTrials, w.unsharedTrial = 0, 0, false
		if w.isUsable(m.now) {
			m.usableWorkers++
		}
	}
	m.isolatedTrials, m.trialWorkers = 0, 0
	for a := range m.trials.All() {
		switch {
		case !a.task.isSuspect():
		case a.onTrial():
			m.countTrial(a.task, a.worker)
		default:
			m.notePassedTrial(a)
		}
	}
	for t := range m.requestedTrials.All() {
		if w := m.workers.Get(t.trial.worker); w != nil && m.hasRequestedTrial(t) {
			m.countTrial(t, w)
		} else {
			m.requestedTrials.Delete(t)
		}
	}
}

// countTrial counts a task that is on trial on a worker, or about to be.
func (m *Machine) countTrial(t *task, w *worker) {
	if !t.isSuspect() {
		return
	}
	w.trials++
	if !t.needsIsolation() {
		return
	}
	if w.isolatedTrials == 0 {
		m.trialWorkers++
	}
	w.isolatedTrials++
	m.isolatedTrials++
	w.unsharedTrial = w.unsharedTrial || !t.mayShareTrial()
}

// hasRequestedTrial reports whether a trial of the task is about to begin on the worker
// that its record names. It keeps its place among the trials until then: if it had to
// ask for one again, all places could be taken by trials none of which begins.
func (m *Machine) hasRequestedTrial(t *task) bool {
	waits := t.idle() && !t.step.job().state.Final()
	return m.requestedTrials.Has(t) && waits && t.trial.namesWorker() && !t.trial.inherited
}

// beginTrial tracks an attempt of a suspect task.
func (m *Machine) beginTrial(a *attempt) {
	if !a.task.isSuspect() {
		return
	}
	m.trials.Set(a, struct{}{})
	counted := m.requestedTrials.Has(a.task) && a.task.trial.worker == a.worker.id
	m.requestedTrials.Delete(a.task)
	if !counted {
		m.countTrial(a.task, a.worker)
	}
}

// filterTrial keeps other tasks off a worker with an isolated trial, and tasks that
// need isolation off workers with trials that they may not share.
func filterTrial(m *Machine, t *task, w *worker) bool {
	switch {
	case m.hasRequestedTrial(t) && t.trial.worker == w.id && t.isSuspect():
		// Its place was checked when it was requested.
		return true
	case !t.needsIsolation():
		return w.isolatedTrials == 0
	case w.trials == 0:
		return m.trialWorkers < m.maxTrialWorkers()
	}
	return t.mayShareTrial() && !w.unsharedTrial && w.trials == w.isolatedTrials
}

// mayStartAfterCrashes reports whether the task's crashes permit a start now.
func (m *Machine) mayStartAfterCrashes(t *task) bool {
	m.resolveInheritedTrial(t)
	return !t.step.job().state.Final() && m.trialHoldOn(t) == trialHoldNone
}

// trialHold is what a task's trial waits for.
type trialHold int

const (
	// trialHoldNone: its trial may begin.
	trialHoldNone trialHold = iota
	// trialHoldIsolated: as many isolated trials run as may at a time.
	trialHoldIsolated
	// trialHoldStep: another task of its step is on trial.
	trialHoldStep
	// trialHoldPause: it has crashed too many workers in a row.
	trialHoldPause
	// trialHolds is the number of values.
	trialHolds
)

// trialHoldOn returns what the trial of a suspect task waits for.
func (m *Machine) trialHoldOn(t *task) trialHold {
	switch {
	case m.now.Before(t.trialsPausedUntil):
		return trialHoldPause
	case t.needsIsolation() && !m.hasRequestedTrial(t) && !m.hasTrialPlace(t):
		return trialHoldIsolated
	case !t.step.spec.Gang && t.crashes.Suspicious() > 0 && m.hasOtherTrial(t):
		return trialHoldStep
	}
	return trialHoldNone
}

// hasOtherTrial reports whether another suspect task of the step is on trial while
// no task of the step has run for trialTime. If all tasks of a step crash their
// workers, one of them is enough to find out.
func (m *Machine) hasOtherTrial(t *task) bool {
	found := false
	for _, other := range t.step.tasks {
		if other.done {
			return false
		}
		for _, a := range other.attempts {
			if a.observedRunTime() >= t.trialTime() {
				return false
			}
		}
		awaitsRecord := other.trial.isAwaitingRecord() || m.needsRestartRecord(other)
		about := len(other.attempts) > 0 || other.index < t.index && awaitsRecord
		found = found || other != t && about && other.crashes.Suspicious() > 0
	}
	return found
}

// mayStartGangAfterCrashes reports whether the crashes of all members of a gang
// permit a start now.
func (m *Machine) mayStartGangAfterCrashes(s *step) bool {
	return !slices.ContainsFunc(s.tasks, func(t *task) bool { return !m.mayStartAfterCrashes(t) })
}
