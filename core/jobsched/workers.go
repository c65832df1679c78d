package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
)

// workersListed applies the platform's list. A worker that is missing from it may
// have left, may have lost its entry in an outage of the platform's store, or may
// be partitioned and still running. Nothing is started on it, and its attempts are
// over only when it reports that, or when their leases have certainly ended. An
// unusable entry is treated as a missing one.
func (m *Machine) workersListed(list WorkersListed) {
	m.listed, m.listRequestedAt = true, list.RequestedAt
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

// workersDraining marks known workers as draining before the whole list is read.
func (m *Machine) workersDraining(ev WorkersDraining) {
	for _, e := range ev.Workers {
		if w := m.workers.Get(e.Incarnation); w != nil && !w.entry.Draining {
			m.noteDraining(w, e)
			w.entry.Draining, w.entry.Remaining = true, e.Remaining
			m.changed = true
		}
	}
}

func (m *Machine) noteDraining(w *worker, e WorkerEntry) {
	m.emit(Note{Decision: "worker drains", Worker: w.id, Reason: "remaining " + e.Remaining.String()})
}

func (m *Machine) noteFound(w *worker) {
	m.emit(Note{Decision: "worker found", Worker: w.id, Reason: "address " + w.entry.Address + ", rack " + string(w.entry.Rack)})
}

func (m *Machine) updateEntry(w *worker, e WorkerEntry) {
	if e.Draining && !w.entry.Draining {
		m.noteDraining(w, e)
	}
	w.listed = true
	w.entry = e
	if full := w.full.Max(e.Capacity); full != w.full {
		w.full = full
		m.roster.outdated = true
	}
}

// fullSizes returns the largest known capacity of each VM.
func (m *Machine) fullSizes() map[string]model.Resources {
	sizes := make(map[string]model.Resources, m.workers.Len())
	for _, w := range m.workers.All() {
		if vm := w.entry.Machine; vm != "" {
			sizes[vm] = sizes[vm].Max(w.full)
		}
	}
	return sizes
}

// earlierLeasesEnd returns when all leases granted by earlier leaders have ended.
func (m *Machine) earlierLeasesEnd() time.Time {
	bound := m.recoveredAt.Add(m.options.LeaderTTL + m.options.Lease)
	return bound.Add(time.Duration(float64(m.options.Lease)*clockDrift) + leaseSlack)
}

// markRosterLost records that the stored roster could not be read. Until the given
// time attempts may be running on any worker, even one missing from the platform's
// list, so nothing is started before. Leases are renewed only on workers that are
// on a roster of this leader or a later one, and each commit stores how much longer
// the roster may lack workers, so that the next leader waits no longer than this
// one.
func (m *Machine) markRosterLost(until time.Time, reason string) {
	m.rosterLostUntil = until
	m.restarts.leaseExpiredUnanswered = true
	m.roster.outdated = true
	m.emit(Note{Decision: joblog.MessageRosterLost, Reason: reason + "; nothing is started until " +
		m.rosterLostUntil.Sub(m.now).String() + " from now, when all earlier leases have ended"})
}

// rosterLostLeft returns how much longer the stored roster may lack workers.
func (m *Machine) rosterLostLeft() time.Duration { return max(m.rosterLostUntil.Sub(m.now), 0) }

// startsHeld reports whether starts of the job are held back. That is so while an
// earlier leader may have started its tasks on a worker that has not answered yet,
// and until the first commit of this leader ends the guarantees of the earlier
// leader's roster. Jobs accepted after the takeover can have been started elsewhere
// only while the earlier leader may still have been acting, for LeaderTTL. Nothing is
// started either while the known cordons of zones may be out of date.
func (m *Machine) startsHeld(j *jobState) bool {
	if !m.commit.stored || !m.cordonsCurrent() || m.now.Before(m.rosterLostUntil) {
		return true
	}
	if m.unresolved.Len() == 0 {
		return !m.listed
	}
	return j.recovered || m.now.Before(m.recoveredAt.Add(m.options.LeaderTTL))
}

// expireWorkers handles workers that have not answered for so long that their
// leases have ended, and forgets those that have left.
func (m *Machine) expireWorkers() {
	for id, bound := range m.unresolved.All() {
		if !m.now.Before(bound) {
			m.unresolved.Delete(id)
			m.restarts.leaseExpiredUnanswered = true
			m.changed = true
		}
	}
	for _, w := range m.workers.All() {
		reachable := w.answered && w.unreachableSince.IsZero() && !w.ended
		if !reachable && !m.now.Before(w.leaseBound) {
			m.loseUnreachable(w)
		}
		if m.hasDeparted(w) {
			m.forget(w)
		}
	}
}

// hasDeparted reports whether a worker has left: it is not listed, and no attempt
// may be running there. If another incarnation has followed it, that is enough. If
// it has no ends left to report and its attempts are known, it must also be
// draining or unreachable. Otherwise it must be unreachable until its leases have
// ended.
func (m *Machine) hasDeparted(w *worker) bool {
	if !m.listed || w.listed || w.attempts.Len() > 0 {
		return false
	}
	if w.ended {
		return true
	}
	unreachable := !w.unreachableSince.IsZero()
	if !w.attemptsUnknown && w.outstanding() == 0 {
		return unreachable || w.entry.Draining
	}
	return unreachable && !m.now.Before(w.leaseBound)
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
	m.emit(Note{Decision: "worker gone", Worker: w.id, Reason: "not listed, and none of its attempts is left"})
}

// endIncarnation marks an incarnation as ended, together with all attempts on it.
func (m *Machine) endIncarnation(w *worker) {
	if w.attemptsUnknown {
		m.unseenCrash = true
		m.unseenEnds++
	}
	m.loseAttemptsInCrash(w, "another incarnation answers at its address")
	w.ended = true
	w.attemptsUnknown = false
	m.unresolved.Delete(w.id)
}

// markUnreachable records that a call to w got no answer.
func (m *Machine) markUnreachable(w *worker, sentAt time.Time) {
	if w.unreachableSince.IsZero() {
		w.unreachableSince = sentAt
		m.emit(Note{Decision: joblog.MessageWorkerSilent, Worker: w.id, Reason: "no answer; " + m.describeLeases(w)})
	}
}

// describeLeases tells until when leases on the worker may last, and by which reading of
// its clock they were granted.
func (m *Machine) describeLeases(w *worker) string {
	text := fmt.Sprintf("leases end within %s", max(w.leaseBound.Sub(m.now), 0).Round(time.Millisecond))
	if w.clockAt.IsZero() {
		return text + ", its clock is not known"
	}
	return text + fmt.Sprintf(", its clock was at %d ms %s ago", w.clockMs, m.now.Sub(w.clockAt).Round(time.Millisecond))
}

// markReachable records that w has answered a Renew.
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

// worker returns the given incarnation of a worker, or nil if unknown.
func (m *Machine) worker(id model.Incarnation) *worker { return m.workers.Get(id) }
