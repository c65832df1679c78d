package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
)

const (
	// renewWait is how long a worker with attempts may delay its answer while it
	// has no new end to report. It bounds the age of readings, which the worker
	// itself takes over half a second.
	renewWait = 500 * time.Millisecond
	// idleInterval is the time between calls to a worker without attempts, which
	// has no lease to renew.
	idleInterval = 2 * time.Second
	// unackedEndsInterval is the time between calls while ends wait to be stored: a
	// worker with unacknowledged ends answers without delay. It is
	// unackedShortEndsInterval on workers with short tasks that have processors
	// committed to them: the next steps of urgent jobs wait for their ends.
	unackedEndsInterval      = 200 * time.Millisecond
	unackedShortEndsInterval = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay between calls to an
	// unreachable worker.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// notSentPause is the delay before retrying an order that was not sent because
	// the daemon is waiting for its connections to the relays, or is no longer the
	// leader.
	notSentPause = 100 * time.Millisecond
	// maxReportedEnds is how many ends a worker includes in a report.
	maxReportedEnds = 500
)

// sendRenewals sends a Renew to every worker for which it is due.
func (m *Machine) sendRenewals() {
	for _, w := range m.workers.All() {
		if w.renewing || w.ended || m.now.Before(w.renewAt) {
			continue
		}
		unstored := w.lastSeenEnd > w.lastAckedEnd
		r := Renew{Order: m.order(w), AckedEnds: w.lastAckedEnd}
		// The lease of an unreachable worker is not renewed: the call may reach the
		// worker although its answers are lost, and then its attempts could never
		// be declared lost.
		if w.attempts.Len() > 0 && w.unreachableSince.IsZero() {
			if lease := m.leaseFor(w); lease > 0 {
				r.UntilMs = w.until(m.now, lease)
			}
			if w.answered && !unstored {
				r.Wait = renewWait
			}
		}
		w.renewing = true
		w.sentAckedEnd = w.lastAckedEnd
		m.emit(r)
	}
}

// leaseFor returns the length for which the leases on a worker are renewed. It is 0
// before the first commit, while the guarantees of the previous leader's roster
// still apply, and while the next leader would not know of the worker. It never
// extends beyond the lease end on the stored roster.
func (m *Machine) leaseFor(w *worker) time.Duration {
	switch {
	case !m.commit.stored || !w.onRoster && m.now.Before(m.rosterLostUntil):
		return 0
	case w.bounded:
		return min(m.options.Lease, w.leaseWithin(m.now, w.leaseBound))
	}
	return m.options.Lease
}

// renewed handles the result of a Renew.
func (m *Machine) renewed(ev Renewed) {
	w := m.worker(ev.Worker)
	if w == nil {
		return
	}
	w.renewing = false
	if w.ended {
		return
	}
	switch ev.Verdict {
	case VerdictDone:
	case VerdictNotSent:
		w.renewAt = m.now.Add(notSentPause)
		return
	case VerdictFenced:
		m.depose(w)
		return
	case VerdictOtherInstance:
		m.endIncarnation(w)
		return
	default:
		m.markUnreachable(w, ev.SentAt)
		pause := m.now.Sub(w.unreachableSince) / 2
		w.renewAt = m.now.Add(min(max(pause, minRetryDelay), maxRetryDelay))
		return
	}
	if next := m.answeringIncarnation(w, ev.Report.StartedMs); next != w {
		if w = m.handleOtherIncarnation(w, next, ev); w == nil {
			return
		}
	}
	m.endEarlierIncarnations(w, ev)
	m.processReport(w, ev.SentAt, ev.Report)
}

// processReport applies a worker's report, which was requested at sentAt.
func (m *Machine) processReport(w *worker, sentAt time.Time, r Report) {
	m.begin(PartReports)
	defer m.begin(PartOther)
	w.reportBeforeAt, w.requestedAt = w.lastReportAt, sentAt
	m.markReachable(w)
	w.sampleClock(m.now, r.ClockMs)
	m.processEnds(w, r.Ended)
	m.reconcile(w, sentAt, r)
	m.begin(PartSpeeds)
	m.learnSpeedFromReadings(w)
	if w.hasServingTasks() && m.now.Sub(w.learnedAt) >= learnInterval {
		m.unlearned.Set(w, struct{}{})
	}
	m.begin(PartShares)
	m.adjustThrottle(w)
	w.renewAt = m.nextRenewal(w)
	if len(r.Ended) > 0 && r.Ended[0].Number <= w.sentAckedEnd {
		// The acknowledgement was not sent in time for this report, and a worker
		// with ends to report answers without delay each time.
		w.renewAt = later(w.renewAt, m.now.Add(minRetryDelay))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *Machine) nextRenewal(w *worker) time.Time {
	switch {
	case w.lastSeenEnd > w.lastAckedEnd:
		return m.now.Add(w.endsInterval())
	case w.attempts.Len() == 0:
		return m.now.Add(idleInterval)
	}
	return m.now
}

// endsInterval returns the time between calls while ends of the worker wait to be stored.
func (w *worker) endsInterval() time.Duration {
	if w.committed.MilliCPU > w.longRunningCPU {
		return unackedShortEndsInterval
	}
	return unackedEndsInterval
}

// depose ends the machine after a worker has seen a later leader.
func (m *Machine) depose(w *worker) {
	if m.deposed {
		return
	}
	m.deposed = true
	// Orders that have not been sent yet would only be refused.
	m.out = nil
	m.emit(Note{Decision: "deposed", Worker: w.id, Reason: fmt.Sprintf("the worker has seen a higher epoch than %d", m.epoch)})
	m.emit(Deposed{Worker: w.id})
}

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

// reconcile compares the attempts in a worker's report, which was requested at
// sentAt, with those that the machine knows.
func (m *Machine) reconcile(w *worker, sentAt time.Time, report Report) {
	m.lastReport++
	for i := range report.Running {
		r := &report.Running[i]
		a := w.attempts.Get(attemptKey{task: r.Key, attempt: r.Attempt})
		if a == nil {
			a = m.adoptRunning(w, r)
		}
		a.listedIn = m.lastReport
		m.observe(a, r)
	}
	if len(report.Ended) >= maxReportedEnds {
		// The end of an attempt that is not listed may be among the ends that did
		// not fit.
		return
	}
	for _, a := range w.attempts.All() {
		if a.listedIn != m.lastReport && a.isOverBy(sentAt) {
			m.noteAttempt(joblog.MessageAttemptMissing, a, "not in the worker's report")
			if a.previousWorker != nil {
				m.countAttemptCrash(a, a.previousWorker)
			}
			m.endAttempt(a, endLost, "")
			m.prepareRestart(a.task)
		}
	}
}

// isOverBy reports whether an attempt missing from a report requested at sentAt is
// over: before sentAt it was known to be running, or its stop had been
// acknowledged.
func (a *attempt) isOverBy(sentAt time.Time) bool {
	switch a.phase {
	case phaseRunning:
		return a.startedAt.Before(sentAt)
	case phaseDoubtful, phaseStopping:
		return !a.stopAckedAt.IsZero() && a.stopAckedAt.Before(sentAt)
	}
	return false
}

// adoptRunning adds a reported attempt that the machine did not start or had
// declared lost. It is kept if its task has no other attempt, and stopped
// otherwise.
func (m *Machine) adoptRunning(w *worker, r *RunningAttempt) *attempt {
	delete(w.lost, attemptKey{task: r.Key, attempt: r.Attempt})
	if m.unreadable[r.Key.Job] != nil {
		return m.addOrphan(w, r)
	}
	t := m.task(r.Key)
	if t == nil || t.done {
		a := m.addOrphan(w, r)
		m.requestStop(a, stopUnneeded, "no task needs it")
		return a
	}
	if a := m.moveFromOtherIncarnation(t, w, r.Attempt); a != nil {
		return a
	}
	m.dropSuperseded(t, r.Attempt)
	alone, beside := t.idle(), m.mayStayBeside(t)
	m.recordAdopted(t, r.Attempt)
	a := m.addAttempt(t, w, r.Attempt, phaseRunning)
	a.startedAt = m.now
	a.adopted, a.throttleUnknown = true, a.bestEffortCPU > 0
	a.percent = r.Percent
	a.resetPace(m.now)
	a.pace.untimed = max(a.pace.untimed, untimedOnAdoption)
	a.applyInheritedRunTime()
	a.applyInheritedStall(r.Percent)
	m.adoptTrial(t, r.Attempt, w.id)
	switch {
	case beside:
		m.adoptCopy(t)
	case !alone:
		m.requestStop(a, stopSuperseded, "its task has another attempt")
		return a
	}
	m.markBegun(t)
	t.step.job().seenRunning = true
	m.noteAttempt(joblog.MessageAttemptAdopted, a, "an earlier leader started it")
	return a
}

// observe updates an attempt from a worker's report.
func (m *Machine) observe(a *attempt, r *RunningAttempt) {
	a.previousWorker = nil
	a.listed = true
	if a.phase == phaseStarting || a.phase == phaseDoubtful {
		m.markRunning(a)
		a.pace.untimed = max(a.pace.untimed, untimedOnAdoption)
	}
	m.observePercent(a, r.Percent)
	a.reading = r.Reading
	a.readAt = m.now
	if a.task == nil || r.Checkpoint == "" || r.Checkpoint == a.task.checkpoint {
		return
	}
	a.task.checkpoint = r.Checkpoint
	if a.step().spec.Gang {
		a.step().checkpoint = r.Checkpoint
	}
}
