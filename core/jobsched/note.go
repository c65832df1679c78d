package jobsched

import (
	"fmt"
	"strings"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
)

// noteAttempt notes a decision on one attempt.
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
	// waitNoteDelay is how long a step waits for a worker before that is noted, and
	// waitNotedAgain the time until the next note on it.
	waitNoteDelay    = time.Second
	waitNoteInterval = 3 * time.Second
)

// noteWaiting notes why a step that is ready finds no worker.
func (m *Machine) noteWaiting(s *step) {
	switch {
	case s.waitingSince.IsZero():
		s.waitingSince = m.now
	case m.now.Sub(s.waitingSince) >= waitNoteDelay && !m.now.Before(s.nextNoteAt) && m.pass.takeNote():
		s.nextNoteAt = m.now.Add(waitNoteInterval)
		m.emit(Note{
			Decision: joblog.MessageStepWaits, Job: s.job().id, Task: s.name(), Routine: !s.spec.LongRunning,
			Reason: fmt.Sprintf("for %s; workers ruled out: %s", m.now.Sub(s.waitingSince).Round(time.Millisecond), m.ruledOut(s)),
		})
	}
}

// namedFilter is a filter, and the reason for which it rules a worker out.
type namedFilter struct {
	name   string
	filter placementFilter
}

// filterNames name the reasons for which placement rules a worker out.
var filterNames = []namedFilter{
	{"not usable", filterUsable}, {"other service", filterService}, {"label", filterLabel},
	{"on probation", filterProbation}, {"no ticket", filterTicket}, {"no room", filterRoom},
	{"spread", filterSpread}, {"on trial", filterTrial}, {"would disturb", filterInterference},
}

// ruledOut counts the workers by the first reason for which they do not do.
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
