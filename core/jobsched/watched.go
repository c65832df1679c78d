package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// Tasks with suspicious crashes are watched: kept apart from each other, and in the
// end tried alone, until they have run for longer than before their workers crashed.
// Tasks that are placed together would all be blamed for what one of them does, and
// a step whose tasks all crash their workers would take as many workers at a time.

const (
	// isolateAfterSuspicious is from how many suspicious crashes on a task is tried alone: on
	// a worker without another trial, and where nothing new is started beside it.
	// aloneCrashes is the same for crashes of any kind.
	isolateAfterSuspicious = 2
	isolateAfterCrashes    = 3
	// workersPerTrial is how many workers there are for each task that may be tried
	// alone at a time: each may cost a worker and what runs there.
	workersPerTrial = 8
	// defaultTrialTime is how long a trial lasts when it is not known how long the
	// attempts before it ran.
	defaultTrialTime = 2 * time.Second
)

// needsIsolation reports whether the task is to be tried needsIsolation. Members of a gang run
// together or not at all.
func (t *task) needsIsolation() bool {
	tried := t.countSuspicious() >= isolateAfterSuspicious || len(t.crashes) >= isolateAfterCrashes
	return tried && !t.step.spec.Gang
}

// isSuspect reports whether attempts of the task are kept apart from each other until
// they have outlasted the moment at which workers crashed.
func (t *task) isSuspect() bool { return t.countSuspicious() > 0 || t.needsIsolation() }

// countSuspicious counts the countSuspicious crashes under the task.
func (t *task) countSuspicious() int {
	n := 0
	for _, c := range t.crashes {
		if isSuspicious(c) {
			n++
		}
	}
	return n
}

// trialTime returns how long an attempt of the task must be seen to run to show
// that it outlasts the moment at which its workers crashed.
func (t *task) trialTime() time.Duration {
	longest := time.Duration(0)
	for _, c := range t.crashes {
		seen := time.Duration(c.ObservedRunMs) * time.Millisecond
		switch {
		case c.ObservedRunMs == job.ObservedRunUnknown:
			seen = defaultTrialTime
		case seen >= stableRunTime:
			// The start was not the cause.
			seen = 0
		}
		longest = max(longest, seen)
	}
	return longest + reportDelay
}

// onTrial reports whether the attempt may still crash its worker, as earlier ones
// of its task did or may have done.
func (a *attempt) onTrial() bool {
	return a.observedRunTime() < a.task.trialTime()
}

// countTrials notes for the workers which of them have attempts on trial.
func (m *Machine) countTrials() {
	for _, w := range m.workers.All() {
		w.trials, w.hasIsolatedTrial = 0, false
	}
	m.isolatedTrials = 0
	for a := range m.trials.All() {
		if a.task.isSuspect() && a.onTrial() {
			m.countTrial(a.task, a.worker)
		}
	}
}

// countTrial notes that a task is on trial on a worker, or is about to be.
func (m *Machine) countTrial(t *task, w *worker) {
	w.trials++
	if t.needsIsolation() {
		w.hasIsolatedTrial = true
		m.isolatedTrials++
	}
}

// beginTrial follows an attempt of a task that is watched.
func (m *Machine) beginTrial(a *attempt) {
	if a.task.isSuspect() {
		m.trials.Set(a, struct{}{})
		m.countTrial(a.task, a.worker)
	}
}

// filterTrial keeps everything else off a worker on which a task is tried alone,
// and such a task off workers with other trials.
func filterTrial(_ *Machine, t *task, w *worker) bool {
	return !w.hasIsolatedTrial && (w.trials == 0 || !t.needsIsolation())
}

// mayStartAfterCrashes reports whether the task may be started as far as crashes under it go.
func (m *Machine) mayStartAfterCrashes(t *task) bool {
	m.resolveInheritedTrial(t)
	switch {
	case t.step.job().state.Final():
		return false
	case t.needsIsolation() && m.isolatedTrials >= max(m.workers.Len()/workersPerTrial, 1):
		return false
	}
	return t.step.spec.Gang || t.countSuspicious() == 0 || !t.step.hasOtherTrial(t)
}

// hasOtherTrial reports whether another task of the step is on trial and none of the
// step has outlasted that yet. If all tasks of a step crash their workers, one of
// them is enough to find out.
func (s *step) hasOtherTrial(t *task) bool {
	tries := false
	for _, other := range s.tasks {
		if other.done {
			return false
		}
		for _, a := range other.attempts {
			if a.observedRunTime() >= t.trialTime() {
				return false
			}
		}
		about := len(other.attempts) > 0 || other.index < t.index && other.trial.isAwaitingRecord()
		tries = tries || other != t && about && other.countSuspicious() > 0
	}
	return tries
}

// mayStartGangAfterCrashes reports whether all members of a gang may be tried.
func (m *Machine) mayStartGangAfterCrashes(s *step) bool {
	return !slices.ContainsFunc(s.tasks, func(t *task) bool { return !m.mayStartAfterCrashes(t) })
}
