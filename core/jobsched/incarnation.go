package jobsched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
)

// A worker may restart with the same id at the same address. The new incarnation
// knows nothing of the previous one and numbers its ends from 1, and orders sent to
// the previous incarnation by a daemon of an earlier version may reach it. Only its
// entry and its reports show that it is a different one. If it were taken for the
// previous one, its first ends would look as if they had been processed already; this
// shows as attempts that are "not there" although their worker is healthy, and as
// tasks that are done twice.
//
// So the machine keeps a separate worker for each incarnation. If another
// incarnation answers than the one a report was requested from, the requested one
// has ended, and the report is applied to the one that answered.

// workerIncarnations holds the incarnations of one worker in the order in which
// they were added.
type workerIncarnations struct{ all []*worker }

// addIncarnation adds an incarnation of a worker. If others of the same id are
// known, orders to them may have reached this one, with leases of up to MaxLease: a
// daemon of an earlier version sends them to whichever incarnation is there, also for an
// earlier leader that may still be acting.
func (m *Machine) addIncarnation(w *worker) {
	group := m.incarnations[w.id.ID]
	if group == nil {
		group = new(workerIncarnations)
		m.incarnations[w.id.ID] = group
	} else {
		w.extendLeaseBound(later(m.now, m.recoveredAt.Add(m.options.LeaderTTL)), m.options.MaxLease)
	}
	group.all = append(group.all, w)
	w.siblings = group
	m.workers.Set(w.id, w)
}

// dropIncarnation forgets an incarnation of a worker.
func (m *Machine) dropIncarnation(w *worker) {
	m.workers.Delete(w.id)
	w.siblings.all = slices.DeleteFunc(w.siblings.all, func(other *worker) bool { return other == w })
	if len(w.siblings.all) == 0 {
		delete(m.incarnations, w.id.ID)
	}
}

// latestIncarnation returns the incarnation of a worker that was added last, or nil
// if there is none.
func (m *Machine) latestIncarnation(id model.WorkerID) *worker {
	group := m.incarnations[id]
	if group == nil {
		return nil
	}
	return group.all[len(group.all)-1]
}

// isContested reports whether another incarnation of the worker has answered as
// well, and it is not known yet which of the two is current. Nothing new is started
// on either.
func (w *worker) isContested() bool {
	return len(w.siblings.all) > 1 && slices.ContainsFunc(w.siblings.all, func(other *worker) bool {
		return other != w && other.answered && !other.ended
	})
}

// answeringIncarnation returns the incarnation that answered a call to w,
// identified by its start time.
func (m *Machine) answeringIncarnation(w *worker, startedMs int64) *worker {
	m.startTimesReported = m.startTimesReported || startedMs != 0
	if startedMs == 0 || startedMs == w.id.StartedMs {
		return w
	}
	id := model.Incarnation{ID: w.id.ID, StartedMs: startedMs}
	if known := m.workers.Get(id); known != nil {
		return known
	}
	entry := w.entry
	entry.Incarnation = id
	next := newWorker(entry)
	next.full = w.full
	m.addIncarnation(next)
	m.noteFound(next)
	return next
}

// handleOtherIncarnation ends an incarnation after another one has answered a call
// to it. It returns the incarnation to which the report must be applied, or nil if
// that one's own reports will cover its content in the right order.
func (m *Machine) handleOtherIncarnation(w, next *worker, ev Renewed) *worker {
	if next.ended {
		// It has ended since, and the attempts it listed with it.
		if current := next.siblings.lastActive(); current == nil {
			m.endIncarnation(w)
		} else {
			m.replaceIncarnation(w, current, Renewed{SentAt: ev.SentAt})
		}
		return nil
	}
	reportsItself := next.answered || next.renewing
	m.replaceIncarnation(w, next, ev)
	if reportsItself {
		next.renewAt = m.now
		return nil
	}
	return next
}

// lastActive returns the last incarnation that has not ended, or nil.
func (i *workerIncarnations) lastActive() *worker {
	for _, w := range slices.Backward(i.all) {
		if !w.ended {
			return w
		}
	}
	return nil
}

// endEarlierIncarnations ends all incarnations that have certainly ended because w
// answered a call that was sent after their last answers arrived.
func (m *Machine) endEarlierIncarnations(w *worker, ev Renewed) {
	for _, other := range slices.Clone(w.siblings.all) {
		ended := other.answered && !other.ended && other.lastReportAt.Before(ev.SentAt)
		if other != w && ended && other.entry.Address == w.entry.Address {
			m.replaceIncarnation(other, w, ev)
		}
	}
}

// replaceIncarnation ends incarnation w after next has answered a call to it.
// Attempts in the report, and those that were started after it was requested,
// belong to next and move there. Starts that are still unanswered are blocked on
// next.
func (m *Machine) replaceIncarnation(w, next *worker, ev Renewed) {
	if w.id.StartedMs == 0 && !w.answered && !next.ended {
		m.identifyIncarnation(w, next)
		return
	}
	m.noteRestart(w, next, ev.Report)
	for _, a := range w.attempts.All() {
		switch {
		case ev.Report.lists(a.key):
			m.moveAttempt(a, next)
		case a.phase == phaseRunning && !a.startedAt.Before(ev.SentAt):
			a.previousWorker = w
			m.moveAttempt(a, next)
		case a.unanswered():
			m.blockStartAt(a, next)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(w.pendingStarts), attemptKey.compare) {
		m.blockStartAt(m.addOrphan(w, &RunningAttempt{Key: key.task, Attempt: key.attempt}), next)
	}
	if w.attemptsUnknown {
		m.holdForStartsAt(next, next.leaseBound)
	}
	m.endIncarnation(w)
}

// holdForStartsAt holds starts back until an incarnation has answered, or the given time has
// come: starts of an earlier leader to the previous incarnation may have reached it. One that
// has answered refuses them.
func (m *Machine) holdForStartsAt(next *worker, until time.Time) {
	if !next.answered {
		next.attemptsUnknown = true
		m.unresolved.Set(next.id, until)
	}
}

// unanswered reports whether this leader sent the attempt's start and got no
// answer. The start may still be carried out by whichever incarnation receives it.
func (a *attempt) unanswered() bool { return a.startedAt.IsZero() && !a.inherited }

// blockStartAt blocks an unanswered start on the next incarnation of its worker,
// because a stop acknowledged by the previous incarnation has no effect on it.
// Until the block is acknowledged the task waits, since it might otherwise run
// twice.
func (m *Machine) blockStartAt(a *attempt, next *worker) {
	if a.phase == phaseDoubtful {
		a.previousWorker = a.worker
	}
	m.moveAttempt(a, next)
	if a.phase != phaseStopping {
		m.setPhase(a, phaseDoubtful)
	}
	a.stopAckedAt, a.stopSentAt = time.Time{}, time.Time{}
	m.stops.Set(a, struct{}{})
}

// identifyIncarnation ends a worker that a roster or an entry has named by its id
// alone, in favor of the incarnation that answered. It is unknown whether the two
// are the same; the first report of next is the only evidence of what runs there.
func (m *Machine) identifyIncarnation(w, next *worker) {
	maps.Copy(next.lost, w.lost)
	maps.Copy(next.inheritedStalls, w.inheritedStalls)
	maps.Copy(next.inheritedRunTimes, w.inheritedRunTimes)
	if next.answered {
		m.dropInherited(w)
	}
	for _, a := range w.attempts.All() {
		m.moveAttempt(a, next)
	}
	if w.attemptsUnknown {
		m.holdForStartsAt(next, w.leaseBound)
	}
	w.ended, w.attemptsUnknown = true, false
	m.unresolved.Delete(w.id)
}

// noteRestart notes that a worker that had answered has restarted.
func (m *Machine) noteRestart(w, next *worker, r Report) {
	if !w.answered || w.ended {
		return
	}
	first := int64(0)
	if len(r.Ended) > 0 {
		first = r.Ended[0].Number
	}
	m.emit(Note{Decision: joblog.MessageWorkerRestarted, Worker: next.id, Reason: fmt.Sprintf(
		"the previous incarnation was started at %d; its ends up to %d were processed and up to %d acknowledged; this incarnation reports %d ends from %d on",
		w.id.StartedMs, w.lastSeenEnd, w.lastAckedEnd, len(r.Ended), first)})
}

// handleOtherClock handles an answer to a start that another incarnation than w gave, to a
// daemon of an earlier version. It reckons the end of the lease by its own clock, so that it
// may have granted MaxLease. Nothing is started before a report shows who is there.
func (m *Machine) handleOtherClock(w *worker, a *attempt, clockMs int64) {
	m.noteAttempt(joblog.MessageOtherClock, a, fmt.Sprintf("its answer tells %d ms; the clock was at %d ms, read %s before the start was sent",
		clockMs, w.clockMs, a.sentAt.Sub(w.clockAt).Round(time.Millisecond)))
	w.extendLeaseBound(m.now, m.options.MaxLease)
	w.clockAt = time.Time{}
	w.renewAt = m.now
}

// lists reports whether the report contains an attempt, as running or as ended.
func (r *Report) lists(key attemptKey) bool {
	for i := range r.Running {
		if r.Running[i].Key == key.task && r.Running[i].Attempt == key.attempt {
			return true
		}
	}
	for i := range r.Ended {
		if r.Ended[i].Key == key.task && r.Ended[i].Attempt == key.attempt {
			return true
		}
	}
	return false
}

// moveFromOtherIncarnation returns the attempt with the given number if the machine
// has it on another incarnation of worker w, and moves it to w, which has reported
// it. It returns nil for an attempt that is known only from an earlier leader's
// roster; that one is dropped.
func (m *Machine) moveFromOtherIncarnation(t *task, w *worker, number int) *attempt {
	for _, a := range t.attempts {
		if a.key.attempt != number || a.worker.id.ID != w.id.ID {
			continue
		}
		if a.inherited {
			m.dropInheritedAttempt(a)
			return nil
		}
		m.moveAttempt(a, w)
		return a
	}
	return nil
}

// moveAttempt moves an attempt to another incarnation of its worker.
func (m *Machine) moveAttempt(a *attempt, to *worker) {
	learned := a.learnKey.Generation != 0
	m.learnStop(a)
	m.countVictim(a, -1)
	a.worker.remove(a)
	a.worker = to
	to.add(a)
	m.countVictim(a, 1)
	if learned {
		m.learnStart(a)
	}
}
