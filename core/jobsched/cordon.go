package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/cordon"
	"github.com/guavarill/guavarill/core/joblog"
)

// CordonsRead provides the availability zones that the operator has cordoned.
type CordonsRead struct {
	Zones cordon.Zones
	// RequestedAt is when the reading was requested: it contains at least all
	// cordons stored before.
	RequestedAt time.Time
}

func (CordonsRead) event() {}

// cordonsRead applies a reading of the cordons. Starts in a zone that has become
// cordoned are withdrawn if no worker has confirmed them.
func (m *Machine) cordonsRead(ev CordonsRead) {
	current := m.cordonsCurrent()
	change := m.cordons.Update(ev.Zones, ev.RequestedAt)
	for _, zone := range change.Cordoned {
		m.emit(Note{Decision: joblog.MessageZoneCordoned, Reason: fmt.Sprintf(
			"zone %s, by revision %d of the store; nothing is started there, and what runs there runs on", zone, ev.Zones[zone])})
	}
	for _, zone := range change.Lifted {
		m.emit(Note{Decision: joblog.MessageCordonLifted, Reason: fmt.Sprintf("zone %s", zone)})
	}
	if len(change.Cordoned) > 0 {
		m.withdrawStarts()
	}
	m.changed = m.changed || !current || len(change.Cordoned)+len(change.Lifted) > 0
}

// cordonsCurrent reports whether the known cordons are recent enough for starts.
func (m *Machine) cordonsCurrent() bool { return m.cordons.IsCurrent(m.now, m.cordonLimits) }

// isCordoned reports whether the worker is in a cordoned zone.
func (m *Machine) isCordoned(w *worker) bool { return m.cordons.IsCordoned(w.entry.Zone) }

// filterCordon keeps tasks off the workers of cordoned zones.
func filterCordon(m *Machine, _ *task, w *worker) bool { return !m.isCordoned(w) }

// withdrawStarts stops the attempts in cordoned zones whose start no worker has
// confirmed. A start that has not been delivered is refused from then on, and the
// task starts elsewhere once the worker has acknowledged that. Gangs are left alone:
// without one of its members the others would wait for it in vain.
func (m *Machine) withdrawStarts() {
	for _, w := range m.workers.All() {
		if !m.isCordoned(w) {
			continue
		}
		for _, a := range w.attempts.All() {
			if a.phase == phaseStarting && a.task != nil && !a.step().spec.Gang {
				m.requestStop(a, stopCordoned, "its zone was cordoned before its start was confirmed")
			}
		}
	}
}

// describeCordonAge completes a sentence about cordons that are not current.
func (m *Machine) describeCordonAge() string {
	age, known := m.cordons.Age(m.now)
	if !known {
		return "yet"
	}
	return fmt.Sprintf("for %s", age.Round(time.Millisecond))
}
