package jobsched

import (
	"fmt"
	"strings"
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
		s.occurrence.waited = true
	case m.now.Sub(s.waitingSince) >= waitNoteDelay && !m.now.Before(s.nextNoteAt) && m.pass.takeNote():
		s.nextNoteAt = m.now.Add(waitNoteInterval)
		m.emit(Note{
			Decision: joblog.MessageStepWaits, Job: s.job().id, Task: s.name(), Routine: !s.spec.LongRunning,
			Reason: fmt.Sprintf("for %s; %s", m.now.Sub(s.waitingSince).Round(time.Millisecond), m.describeWait(s)),
		})
	}
}

// describeWait returns what keeps the step's tasks from starting: trials of other
// tasks, and the workers that are ruled out.
func (m *Machine) describeWait(s *step) string {
	ruledOut := "workers ruled out: " + m.ruledOut(s)
	if trials := m.describeTrialWait(s); trials != "" {
		return trials + "; " + ruledOut
	}
	return ruledOut
}

// noteFoundWorkers ends the step's wait for workers, if it waits.
func (m *Machine) noteFoundWorkers(s *step) {
	if !s.waitingSince.IsZero() {
		s.job().tally.waited += m.now.Sub(s.waitingSince)
		s.waitingSince = time.Time{}
	}
}

// namedFilter is a placement filter with the reason that it is reported under.
type namedFilter struct {
	name   string
	filter placementFilter
}

// filterNames lists the filters in the order in which ruledOut applies them.
var filterNames = []namedFilter{
	{"not usable", filterUsable}, {"zone cordoned", filterCordon}, {"other service", filterService}, {"label", filterLabel},
	{"on probation", filterProbation}, {"no ticket", filterTicket}, {"no room", filterRoom},
	{"spread", filterSpread}, {"on trial", filterTrial}, {"would disturb", filterInterference},
}

// ruledOut counts the workers that cannot take the step's first task, by the first
// filter that rejects each of them.
func (m *Machine) ruledOut(s *step) string {
	m.pass.spend(m.workers.Len())
	counts := make([]int, len(filterNames))
	for _, w := range m.workers.All() {
		for i, f := range filterNames {
			if !f.filter(m, s.tasks[0], w) {
				counts[i]++
				break
			}
		}
	}
	var parts []string
	for i, count := range counts {
		if count > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", filterNames[i].name, count))
		}
	}
	return strings.Join(parts, ", ")
}
