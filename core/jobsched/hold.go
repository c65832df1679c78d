package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
)

// hold is why a start waits after a take-over: an earlier leader may have started
// the task elsewhere.
type hold struct {
	// worker is one that has not answered the machine; empty where none is to
	// blame.
	worker model.WorkerID
	// until is when the hold ends at the latest, zero if that is not known.
	until time.Time
	// others counts the other workers that hold the start as well.
	others int
	reason string
}

// describe says what is waited for, and until when.
func (h hold) describe(now time.Time) string {
	text := h.reason
	if h.others > 0 {
		text += fmt.Sprintf(", nor have %d others", h.others)
	}
	if !h.until.IsZero() {
		text += "; until " + h.until.Sub(now).Round(time.Millisecond).String() + " from now at the latest"
	}
	return text
}

// holdOf returns the hold on a job that is held.
func (m *Machine) holdOf(j *jobState) hold {
	switch {
	case m.now.Before(m.rosterLostUntil):
		return hold{until: m.rosterLostUntil, reason: "the stored roster cannot be read"}
	case m.unresolved.Len() == 0:
		return hold{reason: "the list of workers has not been read yet"}
	}
	h := hold{others: m.unresolved.Len() - 1, reason: "has not answered this leader and may run it"}
	for id, bound := range m.unresolved.All() {
		if bound.After(h.until) {
			h.worker, h.until = id, bound
		}
	}
	if !j.recovered {
		h.until = m.recoveredAt.Add(m.options.LeaderTTL)
	}
	return h
}

// noteHeld notes that a step is held back, once that has lasted for longer than
// the workers that are well take to answer a new leader. Without it a step that
// is held back looks in the log like one that nobody knows of.
func (m *Machine) noteHeld(s *step) {
	if m.now.Sub(m.recoveredAt) < waitNoted || m.now.Before(s.noteAt) || !m.pass.mayNote() {
		return
	}
	s.noteAt = m.now.Add(waitNotedAgain)
	h := m.holdOf(s.job())
	m.emit(Note{
		Decision: joblog.MessageHeldBack, Job: s.job().id, Task: s.name(), Worker: h.worker,
		Reason: h.describe(m.now), Routine: !s.spec.LongRunning,
	})
}

// noteResumed notes the first start of a job that an earlier leader had, with
// the time since the take-over: callers wait that long for what a lost leader
// leaves undone.
func (m *Machine) noteResumed(j *jobState) {
	if !j.recovered || j.resumed {
		return
	}
	j.resumed = true
	m.emit(Note{
		Decision: joblog.MessageResumed, Job: j.id, Lag: m.now.Sub(m.recoveredAt), Routine: true,
		Reason: fmt.Sprintf("%s after the take-over", m.now.Sub(m.recoveredAt).Round(time.Millisecond)),
	})
}

// Unheard returns how many workers hold starts back, because an earlier leader
// may have started tasks there and they have not answered this one.
func (m *Machine) Unheard() int { return m.unresolved.Len() }
