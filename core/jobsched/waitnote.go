package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
)

// noteAttempt emits a note about one attempt.
func (m *Machine) noteAttempt(decision string, a *attempt, reason string) {
	m.emit(Note{
		Decision: decision, Job: a.key.task.Job, Task: a.key.task.String(), Attempt: a.key.attempt,
		Worker: a.worker.id, Reason: reason, Routine: true,
	})
}

func (m *Machine) configVersion() uint64 {
	if m.config == nil {
		return 0
	}
	return m.config.Version
}

const (
	// waitNoteDelay is how long a step waits for a worker before that is noted.
	// waitNoteInterval is the time until the next note about it.
	waitNoteDelay    = time.Second
	waitNoteInterval = 3 * time.Second
)

// noteWaiting notes why no worker is found for a ready step.
func (m *Machine) noteWaiting(s *step) {
	switch {
	case s.waitingSince.IsZero():
		s.waitingSince = m.now
		s.occurrence.waitedForWorker = true
	case m.now.Sub(s.waitingSince) >= waitNoteDelay && !m.now.Before(s.nextNoteAt) && m.pass.TakeNote():
		s.nextNoteAt = m.now.Add(waitNoteInterval)
		counts := m.countRuledOut(s)
		s.waitReason = mostFrequentReason(counts)
		m.emit(Note{
			Decision: joblog.MessageStepWaits, Job: s.job().id, Task: s.name(), Routine: !s.spec.LongRunning,
			Reason: fmt.Sprintf("for %s; %s", m.now.Sub(s.waitingSince).Round(time.Millisecond), m.describeWait(s, counts)),
		})
	}
}

// describeWait returns what keeps the step's tasks from starting: trials of other
// tasks, the workers that are ruled out, and what best-effort work takes.
func (m *Machine) describeWait(s *step, ruledOut []int) string {
	text := "workers ruled out: " + describeRuledOut(ruledOut)
	if s.spec.BestEffort {
		text += "; " + m.describeBestEffortUse()
	}
	if trials := m.describeTrialWait(s); trials != "" {
		return trials + "; " + text
	}
	return text
}

// noteFoundWorkers ends the step's wait for workers, if it waits.
func (m *Machine) noteFoundWorkers(s *step) {
	if !s.waitingSince.IsZero() {
		s.job().tally.waitedForWorkers += m.now.Sub(s.waitingSince)
		s.waitedSince = s.waitingSince
		s.waitingSince, s.waitReason = time.Time{}, ""
	}
}

// resumeWait continues the step's last wait for workers, after one that it found has
// refused its task.
func (s *step) resumeWait() {
	if s.waitingSince.IsZero() {
		s.waitingSince = s.waitedSince
	}
}
