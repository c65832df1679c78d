package jobsched

import "time"

// rosterStatus is a short form of what the roster should state about a worker. A
// roster is due when the status of a worker differs from the one on the stored
// roster.
type rosterStatus struct {
	// closed is whether RosterEntry.Closed should be set; bounded is whether
	// LeaseLeft should be set.
	closed, bounded bool
	// attempts is the number of attempts to list.
	attempts int
	// failures is the value in RosterEntry.Health, or 0 without one.
	failures int
	// slow and unproven are what RosterEntry.Slowness states.
	slow, unproven bool
}

// rosterStatusOf returns what the roster should state about a worker now.
func (m *Machine) rosterStatusOf(w *worker) rosterStatus {
	status := m.startStatusOf(w)
	status.failures, status.slow, status.unproven = 0, w.speed.slow, w.speed.unproven
	if w.health.IsOnProbation(m.now) {
		status.failures = w.health.Failures()
	}
	return status
}

// startStatusOf returns what the roster should state about starts and leases on a
// worker.
func (m *Machine) startStatusOf(w *worker) rosterStatus {
	switch {
	case !w.answered && w.onRoster && m.mayStillAnswer(w):
		return w.rosterStatus
	case w.attemptsUnknown:
		return rosterStatus{bounded: true}
	case w.ended:
		return rosterStatus{closed: true, attempts: w.outstanding()}
	case w.acceptsTasks(m.now):
		return rosterStatus{}
	}
	return rosterStatus{closed: true, bounded: !w.answered, attempts: w.outstanding()}
}

// mayStillAnswer reports whether a worker that has not answered yet is expected to do
// so soon. A worker that leaves or was silent before the takeover is not: what is
// known of it goes into the first commit, since that ends what the earlier roster
// says, and the next leader may follow at any moment.
func (m *Machine) mayStillAnswer(w *worker) bool {
	leaves := w.entry.Draining || m.listed && !w.listed
	silent := !w.lastReportAt.IsZero()
	return !leaves && !silent && m.now.Before(m.recoveredAt.Add(firstAnswerTime))
}

// acceptsTasks reports whether tasks may be started on the worker, now or as soon
// as it answers.
func (w *worker) acceptsTasks(now time.Time) bool {
	unreachable := !w.unreachableSince.IsZero() && now.Sub(w.unreachableSince) >= rosterUnreachableAfter
	return w.answered && w.listed && !w.entry.Draining && !unreachable
}
