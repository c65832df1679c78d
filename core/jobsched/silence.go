package jobsched

import (
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

// A worker that has been silent for longer than its lease runs nothing any more.
// What it ran may have ended before as done, though, and the end counts once it
// is acknowledged; unless the lease has ended something after it, with which the
// worker's earlier results are void. A task that is started again meanwhile is
// then done twice; one notices by two attempts of it that are both done. So
// attempts are given up late where nothing shows that the lease will end
// something, and an end of an attempt that was given up is not acknowledged once
// its task has been started again.

const (
	// listedLossGrace is how long the attempts on a listed worker wait for news
	// beyond its lease: it writes its entry, so that it lives and is cut off from
	// the daemons, which it seldom is for longer.
	listedLossGrace = 10 * time.Second
	// unlistedLossGrace is the same for a worker that has left the list: its entry
	// is back within 2 s of an outage of the store if it lives.
	unlistedLossGrace = 2 * time.Second
	// maxUnackedEnds is how many ends a worker may keep before it gets no more tasks.
	// It reports 500 at a time, and an end beyond them would not be heard of.
	maxUnackedEnds = 400
)

// loseUnreachable declares attempts on a silent worker lost whose lease has ended: all of
// them where nothing that was done there can count, or nobody can wait any longer;
// else those that are never done.
func (m *Machine) loseUnreachable(w *worker) {
	all := w.endsWithLease() || !m.now.Before(w.leaseBound.Add(w.lossGrace()))
	for _, a := range w.attempts.All() {
		if !all && !a.longRunning && a.task != nil {
			continue
		}
		if a.mayHaveCrashed() || m.hasSuccessorOnVM(w) {
			m.countAttemptCrash(a, w)
		}
		m.loseAttempt(a, "its lease ran out without an answer")
	}
}

// lossGrace returns how long attempts wait for news of a silent worker beyond its
// lease.
func (w *worker) lossGrace() time.Duration {
	if w.listed {
		return listedLossGrace
	}
	return unlistedLossGrace
}

// endsWithLease reports whether something certainly runs on the worker that the
// end of its lease ends.
func (w *worker) endsWithLease() bool {
	for _, a := range w.attempts.All() {
		if a.longRunning && a.phase == phaseRunning {
			return true
		}
	}
	return false
}

// releaseWithheldEnds takes in that the worker's lease has ended something: what it did
// before does not count any more, and may be acknowledged.
func (w *worker) releaseWithheldEnds() {
	for i := range w.unackedEnds {
		w.unackedEnds[i].held = false
	}
}

// restartedAfter reports whether the task of an end was started again after the
// attempt that ended had been given up.
func (m *Machine) restartedAfter(e *EndedAttempt) bool {
	if m.restarts.requested[e.Key.Job][e.Key] > e.Attempt {
		return true
	}
	t := m.task(e.Key)
	return t != nil && slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.key.attempt > e.Attempt })
}

// withholdEnd keeps the end that was just taken in, and those after it, from being
// acknowledged.
func (m *Machine) withholdEnd(w *worker, e *EndedAttempt) {
	w.unackedEnds[len(w.unackedEnds)-1].held = true
	m.emit(Note{
		Decision: joblog.MessageEndNotAcknowledged, Job: e.Key.Job, Task: e.Key.String(), Attempt: e.Attempt, Worker: w.id,
		Reason: "it was given up, and its task has been started again; the end is not acknowledged",
	})
}

// restarts remembers the starts of tasks that may have been done before, by an
// attempt of which nothing was heard. They are stored with the progress of their
// jobs before they are made: the leader to whom the worker answers may be another
// one, and the worker of the later attempt may be gone by then.
type restarts struct {
	// leaseExpiredUnanswered is set when a worker did not answer in the time in which an earlier
	// leader's attempts may run there.
	leaseExpiredUnanswered bool
	// requested holds the number requested the last such start, stored what is stored requested it.
	requested, stored map[job.ID]job.Restarts
}

// mayBeDone reports whether the task may have been done by an attempt of which
// nothing was heard. Long-running tasks are never done.
func (m *Machine) mayBeDone(t *task) bool {
	j := t.step.job()
	return !t.step.spec.LongRunning && (t.attemptLost || j.wasUnreadable || m.restarts.leaseExpiredUnanswered && j.recovered)
}

// needsRestartRecord reports whether a start of the task is to be stored first.
func (m *Machine) needsRestartRecord(t *task) bool {
	return m.mayBeDone(t) && m.restarts.stored[t.step.job().id][t.key()] <= t.last
}

// ensureRestartStored reports whether the task may be started as far as the memory of
// restarts goes, and has its start stored if not.
func (m *Machine) ensureRestartStored(t *task) bool {
	if !m.needsRestartRecord(t) {
		return true
	}
	if m.restarts.requested[t.step.job().id][t.key()] <= t.last {
		// Earlier leaders may have used numbers that no record tells. An end under
		// the number of the restart would be taken for that of the restart.
		t.last += attemptGap
	}
	m.requestRestart(t, t.last+1)
	return false
}

// ensureRestartsStored is restartStored for all tasks of a step.
func (m *Machine) ensureRestartsStored(s *step) bool {
	all := true
	for _, t := range s.tasks {
		all = m.ensureRestartStored(t) && all
	}
	return all
}

// recordAdopted takes in an attempt that an earlier leader started. Whether that
// leader had heard of those before, and stored that it had not, is not known.
func (m *Machine) recordAdopted(t *task, number int) {
	if number > 1 && !t.step.spec.LongRunning {
		m.requestRestart(t, number)
	}
}

func (m *Machine) requestRestart(t *task, number int) {
	j := t.step.job()
	if m.restarts.requested[j.id][t.key()] >= number {
		return
	}
	mergeRestarts(&m.restarts.requested, j.id, job.Restarts{t.key(): number})
	m.markDirty(j)
}

// loadRestarts takes in what is stored of a job.
func (m *Machine) loadRestarts(id job.ID, stored job.Restarts) {
	mergeRestarts(&m.restarts.requested, id, stored)
	mergeRestarts(&m.restarts.stored, id, stored)
}

// mergeRestarts adds restarts of a job.
func mergeRestarts(all *map[job.ID]job.Restarts, id job.ID, more job.Restarts) {
	if len(more) == 0 {
		return
	}
	if *all == nil {
		*all = make(map[job.ID]job.Restarts)
	}
	if (*all)[id] == nil {
		(*all)[id] = make(job.Restarts)
	}
	maps.Copy((*all)[id], more)
}

// forget forgets a job whose records are removed.
func (r *restarts) forget(id job.ID) {
	delete(r.requested, id)
	delete(r.stored, id)
}
