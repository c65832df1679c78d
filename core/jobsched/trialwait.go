package jobsched

import (
	"fmt"
	"time"
)

// A task that waits for its trial is ruled out by no worker: without a reason of its
// own it looks in the log like one for which there is room and which is not started
// all the same.

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

// describeTrialWait describes what the step's tasks that wait for their trials wait
// for; it returns "" if none does.
func (m *Machine) describeTrialWait(s *step) string {
	var byHold [trialHoldStep + 1]int
	for _, t := range s.tasks {
		if t.idle() {
			byHold[m.trialHoldOn(t)]++
		}
	}
	switch {
	case byHold[trialHoldIsolated] > 0:
		return fmt.Sprintf("%d of its tasks wait to be tried alone, while %d of at most %d such trials run%s",
			byHold[trialHoldIsolated], m.isolatedTrials, m.maxIsolatedTrials(), m.describeTrialEnd(nil))
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
