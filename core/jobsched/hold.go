package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
)

// startHold is why a start is held back. After a takeover, an earlier leader may have
// started the task on another worker.
type startHold struct {
	// worker is the worker that holds the start back longest; empty if the reason
	// is not a worker.
	worker model.Incarnation
	// until is the latest time at which the hold ends; zero if unknown.
	until time.Time
	// others counts the other workers that hold the start back as well.
	others int
	// reason continues a sentence that starts with the worker's name, if there is
	// one.
	reason string
}

// describe returns the reason and the latest end of the hold. It omits the worker's
// name, which notes and views show next to the text.
func (h startHold) describe(now time.Time) string {
	text := h.reason
	if h.others > 0 {
		text += fmt.Sprintf(", nor have %d others", h.others)
	}
	if !h.until.IsZero() {
		text += "; until " + h.until.Sub(now).Round(time.Millisecond).String() + " from now at the latest"
	}
	return text
}

// holdOnJob returns the hold on a job for which startsHeld is true.
func (m *Machine) holdOnJob(j *jobState) startHold {
	switch {
	case !m.commit.stored:
		return startHold{reason: "no commit of this leader is stored yet"}
	case !m.cordonsCurrent():
		return startHold{reason: "the cordoned zones have not been read " + m.describeCordonAge()}
	case m.now.Before(m.rosterLostUntil):
		return startHold{until: m.rosterLostUntil, reason: "the stored roster cannot be read"}
	case m.unresolved.Len() == 0:
		return startHold{reason: "the list of workers has not been read yet"}
	}
	h := startHold{others: m.unresolved.Len() - 1, reason: "has not answered this leader and may run it"}
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

// holdOnStep returns the first hold found on an unfinished task of the step.
func (m *Machine) holdOnStep(s *step) (startHold, bool) {
	for _, t := range s.tasks {
		if s.ready() && t.idle() && m.startsHeld(s.job()) {
			return m.holdOnJob(s.job()), true
		}
		for _, a := range t.attempts {
			if !a.worker.unreachableSince.IsZero() || a.inherited {
				return m.holdByAttempt(a), true
			}
		}
	}
	return startHold{}, false
}

// noteHeld notes that a step is held back, starting one second after the takeover:
// reachable workers have answered by then. Without this note a step that is held
// back looks in the log like one that no daemon knows of.
func (m *Machine) noteHeld(s *step) {
	if m.now.Sub(m.recoveredAt) < waitNoteDelay || m.now.Before(s.nextNoteAt) || !m.pass.TakeNote() {
		return
	}
	s.nextNoteAt = m.now.Add(waitNoteInterval)
	h := m.holdOnJob(s.job())
	m.emit(Note{
		Decision: joblog.MessageStartHeldBack, Job: s.job().id, Task: s.name(), Worker: h.worker,
		Reason: h.describe(m.now), Routine: !s.spec.LongRunning,
	})
}

// noteResumed notes the first start of a recovered job, with the time since the
// takeover. For tasks that were ready at the takeover this is the time their
// callers waited; for a job that ran on or was blocked it is not.
func (m *Machine) noteResumed(j *jobState) {
	if !j.recovered || j.resumed {
		return
	}
	j.resumed = true
	m.emit(Note{
		Decision: joblog.MessageJobResumed, Job: j.id, Lag: m.now.Sub(m.recoveredAt), Routine: true,
		Reason: fmt.Sprintf("%s after the take-over", m.now.Sub(m.recoveredAt).Round(time.Millisecond)),
	})
}

// UnansweredWorkers returns the number of workers that hold starts back because an
// earlier leader may have started tasks there and they have not answered this
// leader.
func (m *Machine) UnansweredWorkers() int {
	unheard := 0
	for _, w := range m.workers.All() {
		if !w.answered && (m.unresolved.Has(w.id) || w.attempts.Len() > 0) {
			unheard++
		}
	}
	return unheard
}

// noteHoldingAttempts notes the attempts on an unreachable worker: their tasks are
// not started elsewhere before the attempts are declared lost.
func (m *Machine) noteHoldingAttempts(w *worker) {
	since := w.unreachableSince
	if since.IsZero() && !w.answered {
		since = m.recoveredAt
	}
	if since.IsZero() || m.now.Sub(since) < waitNoteDelay {
		return
	}
	for _, a := range w.attempts.All() {
		if a.task == nil || m.now.Before(a.nextNoteAt) {
			continue
		}
		a.nextNoteAt = m.now.Add(waitNoteInterval)
		m.emit(Note{
			Decision: joblog.MessageStartHeldBack, Job: a.key.task.Job, Task: a.key.task.String(), Attempt: a.key.attempt,
			Worker: w.id, Reason: m.holdByAttempt(a).describe(m.now), Routine: !a.longRunning,
		})
	}
}

// holdByAttempt returns the hold on a task that has an attempt on an unreachable
// worker.
func (m *Machine) holdByAttempt(a *attempt) startHold {
	w := a.worker
	h := startHold{worker: w.id, until: w.leaseBound, reason: "does not answer and may run it"}
	if !a.longRunning && !w.endsWithLease() {
		h.until = w.leaseBound.Add(w.lossGrace())
	}
	return h
}
