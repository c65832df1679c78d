package jobsched

import (
	"fmt"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

const (
	// roomPause closes a worker after it refused a task for want of room: its
	// next report will show what the machine did not know of.
	roomPause = 600 * time.Millisecond
	// unhealthyPause closes a worker that said that it is not well.
	unhealthyPause = time.Second
	// invalidPause holds a step back that a worker could not understand.
	invalidPause = 2 * time.Second
	// stopRetry is the time after which a stop without an answer is sent again.
	stopRetry = 400 * time.Millisecond
)

// addAttempt makes an attempt of a task on a worker.
func (m *Machine) addAttempt(t *task, w *worker, number int, p phase) *attempt {
	spec := t.step.spec
	a := &attempt{
		key: attemptKey{task: t.key(), attempt: number}, worker: w, task: t, phase: p,
		size: spec.Committed(), longRunning: spec.LongRunning, advancedAt: m.now,
		throttle: fullSpeed,
	}
	if spec.BestEffort {
		a.bestEffortCPU = spec.Size.MilliCPU
	}
	t.attempts = append(t.attempts, a)
	t.last = max(t.last, number)
	t.step.job().attempts++
	w.add(a)
	m.beginTrial(a)
	m.countVictim(a, 1)
	m.countStarting(a, 1)
	if p == phaseRunning {
		m.learnStart(a)
	}
	return a
}

// addOrphan makes an attempt that no task wants, or of which that is not known
// because its job is set aside. The size of a task that is
// not known is taken as the whole worker, so that nothing is started beside it.
func (m *Machine) addOrphan(w *worker, r *RunningAttempt) *attempt {
	a := &attempt{
		key: attemptKey{task: r.Key, attempt: r.Attempt}, worker: w, phase: phaseRunning,
		size: w.entry.Capacity, advancedAt: m.now, throttle: fullSpeed,
	}
	if record := m.acceptedRecord(r.Key.Job); record != nil && r.Key.Step < len(record.Spec.Steps) {
		a.size = record.Spec.Steps[r.Key.Step].Committed()
	}
	m.orphans++
	w.add(a)
	return a
}

// acceptedRecord returns the accepted record of a job, or nil when it is not known.
func (m *Machine) acceptedRecord(id job.ID) *job.Accepted {
	if j := m.jobs.Get(id); j != nil {
		return j.record
	}
	if aside := m.unreadable[id]; aside != nil {
		return aside.record
	}
	return nil
}

// startAttempt starts a task on a worker.
func (m *Machine) startAttempt(t *task, w *worker, number int) {
	reason := fmt.Sprintf("room %s, report %s old, configuration %d, score %.2f", w.room(),
		m.now.Sub(w.clockAt).Round(time.Millisecond), m.configVersion(), m.score(t, w))
	a := m.addAttempt(t, w, number, phaseStarting)
	t.known = true
	m.noteAttempt(joblog.MessageAttemptStarted, a, reason)
	m.noteResumed(t.step.job())
	m.emit(Start{
		Order: m.order(w), Key: a.key.task, Attempt: number, Payload: t.step.job().record.Spec.Payload,
		UntilMs: w.until(m.now, m.options.Lease), Checkpoint: t.startCheckpoint(),
		Ticket: t.step.advice.ticket(w.id),
	})
	if w.renewAt.After(m.now.Add(renewWait)) {
		w.renewAt = m.now.Add(renewWait)
	}
}

func (t *task) startCheckpoint() string {
	if t.step.spec.Gang {
		return t.step.checkpoint
	}
	return t.checkpoint
}

// started takes in the answer to a start.
func (m *Machine) started(ev Started) {
	w, a := m.findAttempt(ev.AttemptName)
	if a == nil {
		return
	}
	w.sampleClock(m.now, ev.ClockMs)
	if a.phase != phaseStarting && ev.Verdict != VerdictFenced {
		return
	}
	switch ev.Verdict {
	case VerdictDone, VerdictUnknown:
		m.acceptStart(a, ev.Verdict)
		return
	case VerdictFenced:
		m.depose(w)
		return
	case VerdictNoRoom:
		w.noStartsUntil = m.now.Add(roomPause)
	case VerdictNotSent:
		w.noStartsUntil = m.now.Add(notSentPause)
	case VerdictExpired:
		w.clockAt = time.Time{}
		w.renewAt = m.now
	case VerdictUnhealthy, VerdictUnreachable:
		w.noStartsUntil = m.now.Add(unhealthyPause)
	case VerdictOtherInstance:
		defer m.endIncarnation(w)
	case VerdictInvalid:
		a.step().notBefore = m.now.Add(invalidPause)
	case VerdictNoTicket:
		a.step().advice.reject(w.id)
	}
	m.noteAttempt(joblog.MessageStartRefused, a, ev.Verdict.String())
	if w.renewAt.After(m.now) {
		w.renewAt = m.now
	}
	m.endAttempt(a, endLost, "")
}

// acceptStart takes in that a start was carried out, or that it may have been.
func (m *Machine) acceptStart(a *attempt, v Verdict) {
	switch {
	case a.worker.ended:
		m.countAttemptCrash(a, a.worker)
		m.loseAttempt(a, "its worker has ended since")
	case v == VerdictDone:
		m.markRunning(a)
	default:
		m.markDoubtful(a)
	}
}

// markRunning takes in that a worker runs an attempt that was in question.
func (m *Machine) markRunning(a *attempt) {
	doubtful := a.phase == phaseDoubtful
	a.startedAt = m.now
	m.setPhase(a, phaseRunning)
	if a.task == nil {
		return
	}
	m.learnStart(a)
	m.markBegun(a.task)
	if doubtful {
		// A stop is on its way already.
		m.beginStop(a)
	}
}

// markBegun takes in that a task of the job has started.
func (m *Machine) markBegun(t *task) {
	j := t.step.job()
	if j.begun {
		return
	}
	j.begun = true
	if !j.state.Final() {
		j.state = job.Running
		m.markDirty(j)
	}
}

// markDoubtful takes in that a start got no answer. It may be carried out seconds
// later, when the task runs elsewhere; so the worker is told to bar it, and
// the task waits until that is certain.
func (m *Machine) markDoubtful(a *attempt) {
	m.setPhase(a, phaseDoubtful)
	m.noteAttempt(joblog.MessageStartUnanswered, a, "it is barred before the task starts elsewhere")
	m.stops.Set(a, struct{}{})
	a.worker.noStartsUntil = m.now.Add(unhealthyPause)
}

// requestStop stops an attempt.
func (m *Machine) requestStop(a *attempt, reason string) {
	if a.phase == phaseStopping {
		return
	}
	m.beginStop(a)
	m.stops.Set(a, struct{}{})
	m.noteAttempt(joblog.MessageAttemptStopped, a, reason)
}

// sendStops sends the stops that are due, and again those without an answer.
func (m *Machine) sendStops() {
	for a := range m.stops.All() {
		if m.now.Sub(a.stopSentAt) >= stopRetry {
			a.stopSentAt = m.now
			m.emit(Stop{Order: m.order(a.worker), Key: a.key.task, Attempt: a.key.attempt})
		}
	}
}

// stopped takes in the answer to a stop. The attempt is over when a report
// shows it.
func (m *Machine) stopped(ev Stopped) {
	w, a := m.findAttempt(ev.AttemptName)
	if a == nil {
		return
	}
	switch ev.Verdict {
	case VerdictDone:
		m.stops.Delete(a)
		a.stopAckedAt = m.now
		if !w.renewing {
			w.renewAt = m.now
		}
	case VerdictFenced:
		m.depose(w)
	case VerdictOtherInstance:
		m.endIncarnation(w)
	}
}

func (m *Machine) findAttempt(name AttemptName) (*worker, *attempt) {
	w := m.worker(name.Worker)
	if w == nil {
		return nil, nil
	}
	return w, w.attempts.Get(attemptKey{task: name.Key, attempt: name.Attempt})
}

// endAttempt forgets an attempt and settles its task.
func (m *Machine) endAttempt(a *attempt, cause EndCause, checkpoint string) {
	a.worker.remove(a)
	m.countStarting(a, -1)
	m.stops.Delete(a)
	m.trials.Delete(a)
	m.countVictim(a, -1)
	m.learnStop(a)
	m.changed = true
	t := a.task
	if t == nil {
		m.orphans--
		return
	}
	j := t.step.job()
	t.attempts = slices.DeleteFunc(t.attempts, func(other *attempt) bool { return other == a })
	j.attempts--
	if j.state.Final() {
		m.dropIfFinal(j)
		return
	}
	if checkpoint != "" && !t.done {
		t.checkpoint = checkpoint
		if t.step.spec.Gang {
			t.step.checkpoint = checkpoint
		}
	}
	m.endTrial(t, a, cause)
	m.applyEnd(t, a, cause)
	if !j.state.Final() && !t.done {
		m.pending.Set(t.step, struct{}{})
	}
}

// applyEnd draws the consequence of an end for its task and its worker.
func (m *Machine) applyEnd(t *task, a *attempt, cause EndCause) {
	switch cause {
	case EndDone:
		a.worker.health.recordSuccess()
		m.taskEndedDone(t)
	case EndFailed:
		m.blame(t.step, a.worker)
		t.failedOn = a.worker
		m.countFailure(t, a.key.attempt)
		if t.step.spec.LongRunning {
			m.markDirty(t.step.job())
		}
	case EndStopped, EndExpired, EndBroken, EndIncomplete:
		m.markDirty(t.step.job())
	}
}

// blame counts a step's first failure against the worker. Later ones say more
// of the job than of the workers: without this a few hopeless jobs close many
// sound workers, with one failing task on each.
func (m *Machine) blame(s *step, w *worker) {
	if !s.blamed {
		s.blamed = true
		w.health.recordFailure(m.now)
	}
}

// taskEndedDone takes in the end of an attempt that did its work. One member
// of a gang that is done stands for all; a long-running task starts again.
func (m *Machine) taskEndedDone(t *task) {
	if t.step.spec.LongRunning {
		return
	}
	if !t.step.spec.Gang {
		m.finishTask(t)
		return
	}
	for _, member := range t.step.tasks {
		if !member.done {
			// Its attempt ends by itself.
			m.markDone(member)
		}
	}
}
