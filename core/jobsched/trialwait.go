package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/crashes"
)

// A task that waits for its trial is ruled out by no worker: without a reason of its
// own it looks in the log like one for which there is room and which is not started
// all the same.

// trialStartTime is how long a trial takes at the most to be stored, started and
// reported.
const trialStartTime = time.Second

// Trials returns how many attempts are on trial, and how many tasks waited for their
// trial in the last pass.
func (m *Machine) Trials() (running, waiting int) {
	for a := range m.trials.All() {
		if a.onTrial() {
			running++
		}
	}
	return running, m.trialsWaiting
}

// countWaitingTrials counts the tasks that waited for their trial in the pass that ends.
func (m *Machine) countWaitingTrials() {
	m.trialsWaiting, m.unsharedTrialsWaiting = len(m.heldTrials), 0
	for t := range m.heldTrials {
		if t.needsIsolation() && !t.mayShareTrial() {
			m.unsharedTrialsWaiting++
		}
	}
	if m.trialsWaiting == 0 && m.isolatedTrials == 0 {
		// The passed trials tell nothing about tasks that are suspected later.
		m.passedTrials = 0
	}
}

// describeTrialWait describes what the step's tasks that wait for their trials wait
// for; it returns "" if none does.
func (m *Machine) describeTrialWait(s *step) string {
	var byHold [trialHolds]int
	for _, t := range s.tasks {
		if t.idle() {
			byHold[m.trialHoldOn(t)]++
		}
	}
	switch {
	case byHold[trialHoldIsolated] > 0:
		return fmt.Sprintf("%d of its tasks wait to be tried alone, while %d of at most %d such trials run%s; where there is room, all are tried within %s if none of them crashes its worker",
			byHold[trialHoldIsolated], m.isolatedTrials, m.maxIsolatedTrials(), m.describeTrialEnd(nil), m.trialsBound())
	case byHold[trialHoldPause] > 0:
		return fmt.Sprintf("%d of its tasks wait for up to %s, as %d workers have crashed under them one after the other", byHold[trialHoldPause], crashPause, crashes.Most)
	case byHold[trialHoldStep] > 0:
		return fmt.Sprintf("%d of its tasks wait while another task of the step is on trial%s", byHold[trialHoldStep], m.describeTrialEnd(s))
	}
	return ""
}

// describeTrialEnd tells when the last of the trials that run has run for its time, of
// one step or of all if s is nil.
func (m *Machine) describeTrialEnd(s *step) string {
	left := time.Duration(0)
	for a := range m.trials.All() {
		if a.onTrial() && (s == nil || a.step() == s) {
			left = max(left, a.task.trialTime()-a.observedRunTime())
		}
	}
	if left == 0 {
		return ""
	}
	return ", the last for " + left.Round(time.Millisecond).String() + " more at the most"
}

// trialsBound returns within which time all tasks that waited for trials in the last pass
// are tried, if there is room and no worker crashes under one of them: one round for the
// first tasks of their steps, rounds with twice as many trials each, and rounds for those
// that do not share workers.
func (m *Machine) trialsBound() time.Duration {
	rounds := 1
	permitted := m.maxIsolatedTrials()
	for left := m.isolatedTrials + m.trialsWaiting; left > 0; left -= permitted / 2 {
		permitted *= 2
		rounds++
	}
	workers := max(m.usableWorkers/2, 1)
	rounds += (m.unsharedTrialsWaiting + workers - 1) / workers
	return time.Duration(rounds) * (stableRunTime + reportDelay + trialStartTime)
}
