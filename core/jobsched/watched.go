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
	// aloneSuspicious is from how many suspicious crashes on a task is tried alone: on
	// a worker without another trial, and where nothing new is started beside it.
	// aloneCrashes is the same for crashes of any kind.
	aloneSuspicious = 2
	aloneCrashes    = 3
	// workersPerTrial is how many workers there are for each task that may be tried
	// alone at a time: each may cost a worker and what runs there.
	workersPerTrial = 8
	// unknownTrial is how long a trial lasts when it is not known how long the
	// attempts before it ran.
	unknownTrial = 2 * time.Second
)

// alone reports whether the task is to be tried alone. Members of a gang run
// together or not at all.
func (t *task) alone() bool {
	tried := t.suspicious() >= aloneSuspicious || len(t.crashes) >= aloneCrashes
	return tried && !t.step.spec.Gang
}

// watched reports whether attempts of the task are kept apart from each other until
// they have outlasted the moment at which workers crashed.
func (t *task) watched() bool { return t.suspicious() > 0 || t.alone() }

// suspicious counts the suspicious crashes under the task.
func (t *task) suspicious() int {
	n := 0
	for _, c := range t.crashes {
		if suspicious(c) {
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
		seen := time.Duration(c.SeenMs) * time.Millisecond
		switch {
		case c.SeenMs == job.CrashTimeUnknown:
			seen = unknownTrial
		case seen >= longRun:
			// The start was not the cause.
			seen = 0
		}
		longest = max(longest, seen)
	}
	return longest + reportAge
}

// onTrial reports whether the attempt may still crash its worker, as earlier ones
// of its task did or may have done.
func (a *attempt) onTrial() bool {
	return a.seenFor() < a.task.trialTime()
}

// lookAtTrials notes for the workers which of them have attempts on trial.
func (m *Machine) lookAtTrials() {
	for _, w := range m.workers.All() {
		w.trials, w.hasIsolatedTrial = 0, false
	}
	m.isolatedTrials = 0
	for a := range m.trials.All() {
		if a.task.watched() && a.onTrial() {
			m.countTrial(a.task, a.worker)
		}
	}
}

// countTrial notes that a task is on trial on a worker, or is about to be.
func (m *Machine) countTrial(t *task, w *worker) {
	w.trials++
	if t.alone() {
		w.hasIsolatedTrial = true
		m.isolatedTrials++
	}
}

// beginTrial follows an attempt of a task that is watched.
func (m *Machine) beginTrial(a *attempt) {
	if a.task.watched() {
		m.trials.Set(a, struct{}{})
		m.countTrial(a.task, a.worker)
	}
}

// filterTrial keeps everything else off a worker on which a task is tried alone,
// and such a task off workers with other trials.
func filterTrial(_ *Machine, t *task, w *worker) bool {
	return !w.hasIsolatedTrial && (w.trials == 0 || !t.alone())
}

// mayTry reports whether the task may be started as far as crashes under it go.
func (m *Machine) mayTry(t *task) bool {
	m.settleInherited(t)
	switch {
	case t.step.job().state.Final():
		return false
	case t.alone() && m.isolatedTrials >= max(m.workers.Len()/workersPerTrial, 1):
		return false
	}
	return t.step.spec.Gang || t.suspicious() == 0 || !t.step.triesAnother(t)
}

// triesAnother reports whether another task of the step is on trial and none of the
// step has outlasted that yet. If all tasks of a step crash their workers, one of
// them is enough to find out.
func (s *step) triesAnother(t *task) bool {
	tries := false
	for _, other := range s.tasks {
		if other.done {
			return false
		}
		for _, a := range other.attempts {
			if a.seenFor() >= t.trialTime() {
				return false
			}
		}
		about := len(other.attempts) > 0 || other.index < t.index && other.trial.awaited()
		tries = tries || other != t && about && other.suspicious() > 0
	}
	return tries
}

// gangMayTry reports whether all members of a gang may be tried.
func (m *Machine) gangMayTry(s *step) bool {
	return !slices.ContainsFunc(s.tasks, func(t *task) bool { return !m.mayTry(t) })
}
