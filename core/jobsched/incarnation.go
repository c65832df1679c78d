package jobsched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
)

// A worker may start again under the id that it had, at the same address. The next
// incarnation knows nothing of before and counts anew, and what was sent to the one
// before may reach it: only its entry and its reports say that it is another one. Were
// it taken for the one before, its first ends would look as if they had been told
// already; one notices by attempts that are "not there" though their worker is well,
// and by tasks that are done twice.
//
// So each incarnation has a session of its own. A report ends the session that it was
// asked for when another incarnation has answered, and is taken in by that one's.

// workerIncarnations are the sessions with the workerIncarnations of one worker, in the order in
// which they were added.
type workerIncarnations struct{ sessions []*worker }

// addIncarnation adds the session with an incarnation. Orders to another one of its id may
// have reached it, with leases up to the longest that a worker takes.
func (m *Machine) addIncarnation(w *worker) {
	all := m.incarnations[w.id.ID]
	if all == nil {
		all = new(workerIncarnations)
		m.incarnations[w.id.ID] = all
	} else {
		w.leaseBound = m.now.Add(m.options.MaxLease + w.drift(m.options.MaxLease) + leaseSlack)
	}
	all.sessions = append(all.sessions, w)
	w.siblings = all
	m.workers.Set(w.id, w)
}

// dropIncarnation forgets a session.
func (m *Machine) dropIncarnation(w *worker) {
	m.workers.Delete(w.id)
	w.siblings.sessions = slices.DeleteFunc(w.siblings.sessions, func(other *worker) bool { return other == w })
	if len(w.siblings.sessions) == 0 {
		delete(m.incarnations, w.id.ID)
	}
}

// latestIncarnation returns the session with an incarnation of a worker that was added last, nil
// if there is none.
func (m *Machine) latestIncarnation(id model.WorkerID) *worker {
	all := m.incarnations[id]
	if all == nil {
		return nil
	}
	return all.sessions[len(all.sessions)-1]
}

// contested reports whether another incarnation of the worker has answered, too, and it
// is not known yet which of them is there: nothing new is started on either.
func (w *worker) contested() bool {
	return len(w.siblings.sessions) > 1 && slices.ContainsFunc(w.siblings.sessions, func(other *worker) bool {
		return other != w && other.answered && !other.ended
	})
}

// answeringIncarnation returns the session with the incarnation that has answered a call to w,
// which was started at the time given.
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

// handleOtherIncarnation ends the session with an incarnation, as another one has answered a call to
// it. It returns the session that the report is to be taken in by, nil if that one's own
// reports tell the rest, in their order.
func (m *Machine) handleOtherIncarnation(w, next *worker, ev Renewed) *worker {
	if next.ended {
		// It has ended since, and what it listed with it.
		if living := next.siblings.lastActive(); living == nil {
			m.endIncarnation(w)
		} else {
			m.replaceIncarnation(w, living, Renewed{SentAt: ev.SentAt})
		}
		return nil
	}
	own := next.answered || next.renewing
	m.replaceIncarnation(w, next, ev)
	if own {
		next.renewAt = m.now
		return nil
	}
	return next
}

// lastActive returns the last of the sessions that has not ended, or nil.
func (i *workerIncarnations) lastActive() *worker {
	for _, w := range slices.Backward(i.sessions) {
		if !w.ended {
			return w
		}
	}
	return nil
}

// endEarlierIncarnations ends the sessions with all incarnations that have certainly ended, as this
// one has answered a call that was sent after their last answers had come.
func (m *Machine) endEarlierIncarnations(w *worker, ev Renewed) {
	for _, other := range slices.Clone(w.siblings.sessions) {
		ended := other.answered && !other.ended && other.lastReportAt.Before(ev.SentAt)
		if other != w && ended && other.entry.Address == w.entry.Address {
			m.replaceIncarnation(other, w, ev)
		}
	}
}

// replaceIncarnation ends the session with an incarnation, as another one has answered a call to
// it. What the report lists, or what may have been started since it was asked for, is
// on that one. What is on its way there is barred there.
func (m *Machine) replaceIncarnation(w, next *worker, ev Renewed) {
	if w.id.StartedMs == 0 && !w.answered && !next.ended {
		m.identifyIncarnation(w, next)
		return
	}
	m.noteReplaced(w, next, ev.Report)
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
	m.endIncarnation(w)
}

// unanswered reports whether the attempt's start was sent by this leader and has not
// been answered: it may be carried out yet, by whichever incarnation is there then.
func (a *attempt) unanswered() bool { return a.startedAt.IsZero() && !a.inherited }

// blockStartAt has a start that was not answered barred at the next incarnation of its
// worker, since what the one before was told ends with it. The task waits until that
// is certain, or it would run in two places.
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

// identifyIncarnation ends the session with a worker that a roster or an entry has named by its
// id alone. Whether it is the incarnation that has answered is not known: what that one
// tells in its first report is all that is there.
func (m *Machine) identifyIncarnation(w, next *worker) {
	maps.Copy(next.lost, w.lost)
	maps.Copy(next.inheritedStalls, w.inheritedStalls)
	if next.answered {
		m.dropInherited(w)
	}
	for _, a := range w.attempts.All() {
		m.moveAttempt(a, next)
	}
	if w.attemptsUnknown && !next.answered {
		next.attemptsUnknown = true
		m.unresolved.Set(next.id, w.leaseBound)
	}
	w.ended, w.attemptsUnknown = true, false
	m.unresolved.Delete(w.id)
}

// noteReplaced notes that a worker that had answered has started again.
func (m *Machine) noteReplaced(w, next *worker, r Report) {
	if !w.answered || w.ended {
		return
	}
	first := int64(0)
	if len(r.Ended) > 0 {
		first = r.Ended[0].Number
	}
	m.emit(Note{Decision: joblog.MessageWorkerRestarted, Worker: next.id, Reason: fmt.Sprintf(
		"the one before was started at %d; of that, ends up to %d were taken in and up to %d acknowledged; this one tells %d ends from %d on",
		w.id.StartedMs, w.lastSeenEnd, w.lastAckedEnd, len(r.Ended), first)})
}

// lists reports whether the report tells of an attempt, that it runs or how it ended.
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

// moveFromOtherIncarnation returns an attempt that a worker tells of, if the machine has it on
// another incarnation of the worker, to which it was sent: it is on this one then. It
// returns nil for one that only an earlier leader's roster had there.
func (m *Machine) moveFromOtherIncarnation(t *task, w *worker, number int) *attempt {
	for _, a := range t.attempts {
		if a.key.attempt != number || a.worker.id.ID != w.id.ID {
			continue
		}
		if a.inherited {
			m.endAttempt(a, endLost, "")
			return nil
		}
		m.moveAttempt(a, w)
		return a
	}
	return nil
}

// moveAttempt moves an attempt to the session with another incarnation.
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
