package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
)

// workersListed takes the platform's list in. A worker that is missing from it
// may have left, may have lost its entry in an outage of the platform's store,
// or may be cut off and run on: nothing is started on it, and what runs there
// is over when it says so or when its lease has certainly run out. An unusable
// entry is as good as none.
func (m *Machine) workersListed(list WorkersListed) {
	m.listed = true
	for _, w := range m.workers.All() {
		w.listed = false
	}
	usable, unusable := m.classifyEntries(list)
	sizes := m.fullSizes()
	for _, e := range usable {
		w := m.workers.Get(e.Incarnation)
		if w == nil {
			w = newWorker(e)
			w.full = w.full.Max(sizes[e.Machine])
			m.addIncarnation(w)
			m.noteFound(w)
		}
		m.updateEntry(w, e)
	}
	m.trackEntries(unusable)
	m.changed = true
}

func (m *Machine) noteFound(w *worker) {
	m.emit(Note{Decision: "worker found", Worker: w.id, Reason: "address " + w.entry.Address + ", rack " + string(w.entry.Rack)})
}

func (m *Machine) updateEntry(w *worker, e WorkerEntry) {
	if e.Draining && !w.entry.Draining {
		m.emit(Note{Decision: "worker drains", Worker: w.id, Reason: "remaining " + e.Remaining.String()})
	}
	w.listed = true
	w.entry = e
	if full := w.full.Max(e.Capacity); full != w.full {
		w.full = full
		m.roster.outdated = true
	}
}

// fullSizes returns the full capacities of the VMs that are known.
func (m *Machine) fullSizes() map[string]model.Resources {
	sizes := make(map[string]model.Resources, m.workers.Len())
	for _, w := range m.workers.All() {
		if vm := w.entry.Machine; vm != "" {
			sizes[vm] = sizes[vm].Max(w.full)
		}
	}
	return sizes
}

// earlierLeasesEnd returns when nothing runs any more under a lease that an
// earlier leader gave.
func (m *Machine) earlierLeasesEnd() time.Time {
	bound := m.recoveredAt.Add(m.options.LeaderTTL + m.options.Lease)
	return bound.Add(time.Duration(float64(m.options.Lease)*clockDrift) + leaseSlack)
}

// markRosterLost notes that the stored roster could not be read. Attempts may run on
// any worker until the time given, also on one that the platform's list lacks, so
// nothing is started before. Leases are renewed on workers that are on a roster
// of this leader or a later one, and each commit says for how long that roster may
// lack others: the next leader waits no longer than this one.
func (m *Machine) markRosterLost(until time.Time, reason string) {
	m.rosterLostUntil = until
	m.restarts.leaseExpiredUnanswered = true
	m.roster.outdated = true
	m.emit(Note{Decision: joblog.MessageRosterLost, Reason: reason + "; nothing is started until " +
		m.rosterLostUntil.Sub(m.now).String() + " from now, when all earlier leases have ended"})
}

// rosterLostLeft returns how long the stored roster may still lack workers.
func (m *Machine) rosterLostLeft() time.Duration { return max(m.rosterLostUntil.Sub(m.now), 0) }

// startsHeld reports whether a task must wait because an earlier leader may have
// started it on a worker that has not answered yet, or because the statements of
// that leader's roster still stand: the first commit ends that. Jobs that came
// after the take-over can have been started elsewhere only while that leader may
// still have been at work.
func (m *Machine) startsHeld(j *jobState) bool {
	if !m.commit.stored || m.now.Before(m.rosterLostUntil) {
		return true
	}
	if m.unresolved.Len() == 0 {
		return !m.listed
	}
	return j.recovered || m.now.Before(m.recoveredAt.Add(m.options.LeaderTTL))
}

// expireWorkers settles workers that have not answered for so long that
// nothing can run there any more.
func (m *Machine) expireWorkers() {
	for id, bound := range m.unresolved.All() {
		if !m.now.Before(bound) {
			m.unresolved.Delete(id)
			m.restarts.leaseExpiredUnanswered = true
			m.changed = true
		}
	}
	for _, w := range m.workers.All() {
		heard := w.answered && w.unreachableSince.IsZero() && !w.ended
		if !heard && !m.now.Before(w.leaseBound) {
			m.loseUnreachable(w)
		}
		if m.departed(w) {
			m.forget(w)
		}
	}
}

// departed reports whether a worker has left: it is not on the list, and no attempt
// may run there. That is enough where another incarnation has followed it. Where no
// end is awaited from it either, it is enough that it said it would leave, or does
// not answer. Else, or where it is not known what ran there, it must be silent until
// its leases have ended.
func (m *Machine) departed(w *worker) bool {
	if !m.listed || w.listed || w.attempts.Len() > 0 {
		return false
	}
	if w.ended {
		return true
	}
	silent := !w.unreachableSince.IsZero()
	if !w.attemptsUnknown && w.outstanding() == 0 {
		return silent || w.entry.Draining
	}
	return silent && !m.now.Before(w.leaseBound)
}

func (m *Machine) loseAttempt(a *attempt, reason string) {
	a.worker.lost[a.key] = struct{}{}
	if a.unanswered() && a.stopAckedAt.IsZero() {
		a.worker.pendingStarts[a.key] = struct{}{}
	}
	if a.task != nil {
		a.task.attemptLost = true
	}
	m.noteAttempt(joblog.MessageAttemptLost, a, reason)
	m.endAttempt(a, endLost, "")
	m.prepareRestart(a.task)
}

func (m *Machine) forget(w *worker) {
	m.dropIncarnation(w)
	m.unresolved.Delete(w.id)
	m.roster.outdated = true
	m.learner.DropWorker(w.learnID())
	m.emit(Note{Decision: "worker gone", Worker: w.id, Reason: "not listed, and nothing of it is left"})
}

// endIncarnation takes in that the incarnation has ended, with all that ran on it.
func (m *Machine) endIncarnation(w *worker) {
	if w.attemptsUnknown {
		m.unseenCrash = true
	}
	m.loseAttemptsInCrash(w, "another incarnation answers at its address")
	w.ended = true
	w.attemptsUnknown = false
	m.unresolved.Delete(w.id)
}

// markUnreachable notes that a call to w got no answer.
func (m *Machine) markUnreachable(w *worker, sentAt time.Time) {
	if w.unreachableSince.IsZero() {
		w.unreachableSince = sentAt
		m.emit(Note{Decision: joblog.MessageWorkerSilent, Worker: w.id, Reason: "no answer"})
	}
}

// markReachable notes that w has answered a Renew.
func (m *Machine) markReachable(w *worker) {
	if !w.unreachableSince.IsZero() {
		m.emit(Note{Decision: "worker answers again", Worker: w.id,
			Reason: "after " + m.now.Sub(w.unreachableSince).Round(time.Millisecond).String()})
	}
	w.unreachableSince = time.Time{}
	w.lastReportAt = m.now
	if !w.answered {
		w.answered = true
		w.attemptsUnknown = false
		m.dropInherited(w)
		m.changed = true
	}
	if ok := m.unresolved.Has(w.id); ok {
		m.unresolved.Delete(w.id)
		m.changed = true
	}
}

// worker returns the session with the worker, or nil.
func (m *Machine) worker(id model.Incarnation) *worker { return m.workers.Get(id) }
