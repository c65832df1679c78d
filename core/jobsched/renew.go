package jobsched

import (
	"fmt"
	"time"
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
