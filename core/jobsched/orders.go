package jobsched

import (
	"fmt"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

const (
	// roomPause is how long a worker gets no starts after it refused a task because
	// it has no room: its next report will show what occupies it.
	roomPause = 600 * time.Millisecond
	// unhealthyPause is how long a worker gets no starts after it reported that it
	// is unhealthy, was unreachable, did not answer a start, or had been replaced by
	// another incarnation, which the next renewal shows.
	unhealthyPause = time.Second
	// invalidPause delays a step after a worker rejected its order as invalid.
	invalidPause = 2 * time.Second
	// stopRetry is the time after which an unanswered stop is sent again.
	stopRetry = 400 * time.Millisecond
)

// addAttempt adds an attempt of a task to a worker.
func (m *Machine) addAttempt(t *task, w *worker, number int, p phase) *attempt {
	spec := t.step.spec
	a := &attempt{
		key: attemptKey{task: t.key(), attempt: number}, worker: w, task: t, phase: p,
		size: spec.Committed(), class: m.roomClass(t.step), longRunning: spec.LongRunning, advancedAt: m.now,
		throttle: fullSpeed,
	}
	if spec.BestEffort {
		a.bestEffortCPU = spec.Size.MilliCPU
		a.overcommitted = p == phaseStarting && a.bestEffortCPU > w.freeCPU()
	}
	a.pace.doublings = t.step.pace.doublings
	if t.startCheckpoint() != "" {
		a.pace.untimed = untimedOnResume
	}
	t.attempts = append(t.attempts, a)
	t.last = max(t.last, number)
	t.step.job().attempts++
	w.add(a)
	m.countStartedRoom(a)
	m.beginTrial(a)
	m.trackCopyable(a)
	m.countVictim(a, 1)
	m.countStarting(a, 1)
	if p == phaseRunning {
		m.learnStart(a)
	}
	return a
}

// addOrphan adds an attempt without a task: no task needs it, or its job is
// unreadable. If the size of its task is unknown, it takes the whole worker, so
// that nothing is started beside it.
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

// acceptedRecord returns the accepted record of a job, or nil if unknown.
func (m *Machine) acceptedRecord(id job.ID) *job.Accepted {
	if j := m.jobs.Get(id); j != nil {
		return j.record
	}
	if unreadable := m.unreadable[id]; unreadable != nil {
		return unreadable.record
	}
	return nil
}

// startAttempt starts a task on a worker under the given attempt number.
func (m *Machine) startAttempt(t *task, w *worker, number int) {
	m.startAttemptBecause(t, w, number, "")
}

// startAttemptBecause starts a task as startAttempt does and returns the attempt. because
// begins the reason in the note about it.
func (m *Machine) startAttemptBecause(t *task, w *worker, number int, because string) *attempt {
	reason := because + fmt.Sprintf("room %s, report %s old, list %s old, configuration %d, score %.2f", w.room(),
		m.now.Sub(w.clockAt).Round(time.Millisecond), m.now.Sub(m.listRequestedAt).Round(time.Millisecond), m.configVersion(), m.score(t, w))
	a := m.addAttempt(t, w, number, phaseStarting)
	a.sentAt = m.now
	t.known = true
	m.noteSentRestart(t, number)
	t.step.occurrence.noteStart(m.now)
	t.step.times.lastStartAt = m.now
	m.noteAttempt(joblog.MessageAttemptStarted, a, reason)
	m.noteResumed(t.step.job())
	m.emit(Start{
		Order: m.order(w), Key: a.key.task, Attempt: number, Payload: t.step.job().record.Spec.Payload,
		UntilMs: w.until(m.now, m.cordonLimits.StartLease(m.options.Lease)), Checkpoint: t.startCheckpoint(),
		Ticket: t.step.advice.ticket(w.id),
	})
	if w.renewAt.After(m.now.Add(renewWait)) {
		w.renewAt = m.now.Add(renewWait)
	}
	return a
}

func (t *task) startCheckpoint() string {
	if t.step.spec.Gang {
		return t.step.checkpoint
	}
	return t.checkpoint
}

// started handles the answer to a start.
func (m *Machine) started(ev Started) {
	w, a := m.findAttempt(ev.AttemptName)
	if a == nil {
		return
	}
	if w.isOtherClock(a.sentAt, ev.ClockMs) {
		m.handleOtherClock(w, a, ev.ClockMs)
	} else {
		w.sampleClock(m.now, ev.ClockMs)
	}
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
	case VerdictUnhealthy, VerdictUnreachable, VerdictOtherIncarnation:
		w.noStartsUntil = m.now.Add(unhealthyPause)
	case VerdictOtherInstance:
		defer m.endIncarnation(w)
	case VerdictInvalid:
		a.step().notBefore = m.now.Add(invalidPause)
	case VerdictNoTicket:
		a.step().advice.reject(w.id)
	}
	m.noteAttempt(joblog.MessageStartRefused, a, ev.Verdict.String())
	if !a.copy {
		a.step().resumeWait()
	}
	if w.renewAt.After(m.now) {
		w.renewAt = m.now
	}
	m.endAttempt(a, endLost, "")
}

// acceptStart handles the verdict that a start was, or may have been, carried out.
func (m *Machine) acceptStart(a *attempt, v Verdict) {
	switch {
	case a.worker.ended:
		m.countAttemptCrash(a, a.worker)
		m.loseAttempt(a, "its worker has ended in the meantime")
	case v == VerdictDone:
		m.markRunning(a)
	default:
		m.markDoubtful(a)
	}
}

// markRunning records that a worker runs an attempt of which that was not certain.
func (m *Machine) markRunning(a *attempt) {
	doubtful := a.phase == phaseDoubtful
	a.startedAt = m.now
	a.resetPace(m.now)
	m.setPhase(a, phaseRunning)
	if a.task == nil {
		return
	}
	m.learnStart(a)
	m.markBegun(a.task)
	a.step().job().seenRunning = true
	if doubtful {
		// A stop has been sent already.
		m.beginStop(a)
	}
}

// markBegun records that a task of the job has started.
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

// markDoubtful handles a start without an answer. It may be carried out seconds
// later, when the task runs elsewhere. So the worker is ordered to block it, and
// the task waits until that is acknowledged.
func (m *Machine) markDoubtful(a *attempt) {
	m.setPhase(a, phaseDoubtful)
	m.noteAttempt(joblog.MessageStartUnanswered, a, "its start is blocked before the task starts elsewhere")
	m.stops.Set(a, struct{}{})
	a.worker.noStartsUntil = m.now.Add(unhealthyPause)
}

// requestStop stops an attempt, unless it is being stopped already. reason is the text
// of the note about it.
func (m *Machine) requestStop(a *attempt, cause stopCause, reason string) {
	if a.phase == phaseStopping {
		return
	}
	if a.task != nil {
		a.step().job().tally.noteStop(cause)
	}
	m.beginStop(a)
	m.stops.Set(a, struct{}{})
	m.noteAttempt(joblog.MessageAttemptStopped, a, reason)
}

// sendStops sends the stops that are due, and resends those without an answer.
func (m *Machine) sendStops() {
	for a := range m.stops.All() {
		if m.now.Sub(a.stopSentAt) >= stopRetry {
			a.stopSentAt = m.now
			m.emit(Stop{Order: m.order(a.worker), Key: a.key.task, Attempt: a.key.attempt})
		}
	}
}

// stopped handles the answer to a stop. The attempt is over only when a report
// confirms it.
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

// endAttempt removes an attempt and applies its end to the task and the job.
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
	j.tally.noteEnd(a, cause, m.now)
	m.measureEnd(a, cause)
	m.endCopy(a, cause)
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
	m.giveUpAfterCrashes(t)
	if !j.state.Final() && !t.done {
		m.pending.Set(t.step, struct{}{})
	}
}

// applyEnd applies an end to the health of the worker and the state of the task.
func (m *Machine) applyEnd(t *task, a *attempt, cause EndCause) {
	switch cause {
	case EndDone:
		a.worker.health.RecordSuccess()
		t.step.times.unaskedFor = a.unaskedFor()
		m.observeWholeRun(a)
		m.recordRun(a)
		m.decideCopy(t, a)
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

// blame counts the step's first failure against the worker. Later failures of the
// step are not counted: they are more likely caused by the job, and otherwise a few
// broken jobs would quarantine many healthy workers, with one failing task on each.
func (m *Machine) blame(s *step, w *worker) {
	if !s.blamed {
		s.blamed = true
		w.health.RecordFailure(m.now)
	}
}

// taskEndedDone handles an attempt that completed its work. A completed member
// completes its whole gang; a long-running task is started again.
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
