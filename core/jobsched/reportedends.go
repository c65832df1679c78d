package jobsched

import (
	"fmt"

	"github.com/guavarill/guavarill/core/joblog"
)

// processEnds processes the ends that are new.
func (m *Machine) processEnds(w *worker, ends []EndedAttempt) {
	for i := range ends {
		e := &ends[i]
		if e.Number <= w.lastSeenEnd {
			continue
		}
		m.noteGap(w, e.Number)
		w.lastSeenEnd = e.Number
		w.unackedEnds = append(w.unackedEnds, unackedEnd{number: e.Number, task: e.Key, attempt: e.Attempt})
		m.processEnd(w, e)
	}
}

// noteGap notes ends that a worker has numbered but never reported. They have been
// lost on the worker, and the outcome of their attempts is unknown.
func (m *Machine) noteGap(w *worker, number int64) {
	if w.lastSeenEnd > 0 && number > w.lastSeenEnd+1 {
		m.emit(Note{Decision: joblog.MessageEndsNotReported, Worker: w.id, Reason: fmt.Sprintf(
			"ends %d to %d were never reported; up to %d were acknowledged", w.lastSeenEnd+1, number-1, w.lastAckedEnd)})
	}
}

func (m *Machine) processEnd(w *worker, e *EndedAttempt) {
	if e.Cause == EndExpired {
		w.releaseWithheldEnds()
	}
	if unreadable := m.unreadable[e.Key.Job]; unreadable != nil {
		m.deferEnd(unreadable, w, e)
		return
	}
	key := attemptKey{task: e.Key, attempt: e.Attempt}
	_, declared := w.lost[key]
	delete(w.lost, key)
	if t := m.task(e.Key); t != nil && !t.done {
		m.withdrawCrash(t, e.Attempt)
	}
	if restart := m.sentRestart(e); e.Cause == EndDone && restart > 0 {
		m.withholdEnd(w, e, restart)
		return
	}
	if declared && e.Cause != EndDone {
		// The results of a lost attempt are of no use any more, but a failure
		// counts: the end will be acknowledged, and the task has one attempt less
		// left.
		if t := m.task(e.Key); t != nil && e.Cause == EndFailed && !t.done {
			m.countFailure(t, e.Attempt)
		}
		return
	}
	a := w.attempts.Get(key)
	if a == nil {
		a = m.adoptEnded(w, e)
	}
	if a == nil {
		return
	}
	m.noteAttempt(joblog.MessageAttemptEnded, a, string(e.Cause))
	m.endAttempt(a, e.Cause, e.Checkpoint)
}

// adoptEnded adds an attempt for the end of one that an earlier leader started, so
// that the end is processed like any other. It returns nil if no task needs it.
func (m *Machine) adoptEnded(w *worker, e *EndedAttempt) *attempt {
	t := m.task(e.Key)
	if t == nil || t.done {
		return nil
	}
	if a := m.moveFromOtherIncarnation(t, w, e.Attempt); a != nil {
		return a
	}
	m.recordAdopted(t, e.Attempt)
	m.dropSuperseded(t, e.Attempt)
	return m.addAttempt(t, w, e.Attempt, phaseRunning)
}
