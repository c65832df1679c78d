package jobsched

// Isolated trials cost room: nothing else is started beside them, and each may cost a
// worker. So few run at first. If the number stayed the same whatever they showed, as
// after many workers started again under innocent tasks, the last of these would wait
// for all others.

// maxIsolatedTrials returns how many isolated trials may run at a time. Each trial that
// passes permits one more, since the others are then less likely to crash their workers:
// the number doubles with each round, until one does.
func (m *Machine) maxIsolatedTrials() int { return m.fewestIsolatedTrials() + m.passedTrials }

// hasTrialPlace reports whether one more task may be tried in isolation, on a worker of
// its own unless it may share one.
func (m *Machine) hasTrialPlace(t *task) bool {
	return m.isolatedTrials < m.maxIsolatedTrials() && (t.mayShareTrial() || m.trialWorkers < m.maxTrialWorkers())
}

// fewestIsolatedTrials returns how many isolated trials may run at a time if none has
// passed.
func (m *Machine) fewestIsolatedTrials() int { return max(m.usableWorkers/workersPerTrial, 1) }

// maxTrialWorkers returns how many workers may have isolated trials at a time. Nothing
// else is started on these.
func (m *Machine) maxTrialWorkers() int {
	fewest := m.fewestIsolatedTrials()
	return max(min(m.maxIsolatedTrials(), m.usableWorkers/2), fewest)
}

// mayShareTrial reports whether an isolated trial of the task may share its worker with
// others of that kind. A crash of the worker then counts against all of them, so a task
// shares only while few workers have crashed under it, at different times of its runs.
func (t *task) mayShareTrial() bool {
	return len(t.crashes) <= isolateAfterSuspicious && !t.crashes.AllAtSameRunTime()
}

// isIsolatedTrial reports whether the attempt is on trial and its task needs isolation.
func (a *attempt) isIsolatedTrial() bool {
	return a.task != nil && a.task.needsIsolation() && a.onTrial()
}

// countIsolatedTrials counts the isolated trials that run on the worker.
func (w *worker) countIsolatedTrials() int {
	n := 0
	for _, a := range w.attempts.All() {
		if a.isIsolatedTrial() {
			n++
		}
	}
	return n
}

// notePassedTrial counts an isolated trial that the worker has survived, once.
func (m *Machine) notePassedTrial(a *attempt) {
	if !a.passedTrial && a.task.needsIsolation() {
		a.passedTrial = true
		m.passedTrials++
	}
}
