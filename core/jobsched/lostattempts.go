package jobsched

import (
	"fmt"
	"maps"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

// A worker that has been unreachable for longer than its lease runs nothing any
// more. But an attempt there may have completed before, and its end counts once it
// is acknowledged. The exception is if the lease ended any attempt after it: then
// the worker's earlier results are void. If the task is started again in the
// meantime, it is done twice; this shows as two attempts of a task that both end as
// done. So attempts are declared lost late if nothing shows that the end of the
// lease will end one of them, and the end of a lost attempt is not acknowledged
// once its task has been started again.

const (
	// listedLossGrace is how long beyond its lease the attempts on a listed,
	// unreachable worker are kept: the worker still writes its entry, so it is
	// running but partitioned from the daemons, which rarely lasts longer.
	listedLossGrace = 10 * time.Second
	// unlistedLossGrace is the same for a worker that is no longer listed: if it is
	// running, its entry is back within 2 s of an outage of the store.
	unlistedLossGrace = 2 * time.Second
	// maxUnackedEnds is how many unacknowledged ends a worker may have before it
	// gets no more tasks. It reports 500 at a time, and ends beyond them would not
	// be reported.
	maxUnackedEnds = 400
)

// loseUnreachable declares attempts on an unreachable worker lost after its lease
// has ended. It declares all of them lost if no result from there can count any
// more or lossGrace has passed, else only orphans and long-running ones, which
// never complete.
func (m *Machine) loseUnreachable(w *worker) {
	if w.attempts.Len() > 0 && !w.ended {
		m.recordLostWorker(w)
	}
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

// lossGrace returns how long beyond its lease the attempts on an unreachable worker
// are kept.
func (w *worker) lossGrace() time.Duration {
	if w.listed {
		return listedLossGrace
	}
	return unlistedLossGrace
}

// endsWithLease reports whether an attempt is certainly running on the worker that
// the end of its lease will end.
func (w *worker) endsWithLease() bool {
	for _, a := range w.attempts.All() {
		if a.longRunning && a.phase == phaseRunning {
			return true
		}
	}
	return false
}

// releaseWithheldEnds allows withheld ends to be acknowledged after the worker's
// lease has ended an attempt: the worker's earlier results no longer count.
func (w *worker) releaseWithheldEnds() {
	for i := range w.unackedEnds {
		w.unackedEnds[i].withheld = false
	}
}

// sentRestart returns the number of a later attempt of an end's task that may have been
// started after the ended one had been declared lost, or 0 if there is none. A restart
// that was only requested does not count: the end makes it needless.
func (m *Machine) sentRestart(e *EndedAttempt) int {
	number := m.restarts.sent[e.Key.Job][e.Key]
	if t := m.task(e.Key); t != nil {
		for _, a := range t.attempts {
			number = max(number, a.key.attempt)
		}
	}
	if number <= e.Attempt {
		return 0
	}
	return number
}

// withholdEnd withholds the acknowledgement of the end that was just processed, and
// thereby of those after it, because the given attempt may have been started since.
func (m *Machine) withholdEnd(w *worker, e *EndedAttempt, restart int) {
	w.unackedEnds[len(w.unackedEnds)-1].withheld = true
	m.emit(Note{
		Decision: joblog.MessageEndNotAcknowledged, Job: e.Key.Job, Task: e.Key.String(), Attempt: e.Attempt, Worker: w.id,
		Reason: fmt.Sprintf("the attempt was declared lost and its task may have been started again as attempt %d; the end is not acknowledged", restart),
	})
}

// restarts records the starts of tasks that an earlier attempt may have completed
// without the leader receiving its end. They are stored with the progress of their
// jobs before the start is sent: by the time the worker of the earlier attempt
// answers, another daemon may lead, and the worker of the later attempt may be
// gone.
type restarts struct {
	// leaseExpiredUnanswered is set when a worker did not answer before the leases
	// of an earlier leader's attempts there had ended.
	leaseExpiredUnanswered bool
	// requested holds the attempt number of the last such start of each task;
	// stored holds those that have been stored, and sent those that may have been
	// sent: by this leader, or by an earlier one, whose records do not tell.
	requested, stored, sent map[job.ID]job.Restarts
}

// mayBeDone reports whether an attempt of the task may have completed without the
// leader receiving its end. Long-running tasks never complete.
func (m *Machine) mayBeDone(t *task) bool {
	j := t.step.job()
	return !t.step.spec.LongRunning && (t.attemptLost || j.wasUnreadable || m.restarts.leaseExpiredUnanswered && j.recovered)
}

// needsRestartRecord reports whether the next start of the task has to be stored
// first.
func (m *Machine) needsRestartRecord(t *task) bool {
	return m.mayBeDone(t) && m.restarts.stored[t.step.job().id][t.key()] <= t.last
}

// ensureRestartStored reports whether the task may be started as far as its restart
// record is concerned. If not, it requests that the record be stored.
func (m *Machine) ensureRestartStored(t *task) bool {
	if !m.needsRestartRecord(t) {
		return true
	}
	if m.restarts.requested[t.step.job().id][t.key()] <= t.last {
		// Earlier leaders may have used attempt numbers that no record contains. An
		// end with the number of the restart would be taken for the end of the
		// restart.
		t.last += attemptGap
	}
	m.requestRestart(t, t.last+1)
	return false
}

// ensureRestartsStored calls ensureRestartStored for all tasks of a step.
func (m *Machine) ensureRestartsStored(s *step) bool {
	all := true
	for _, t := range s.tasks {
		all = m.ensureRestartStored(t) && all
	}
	return all
}

// recordAdopted records an adopted attempt as a restart. It is not known whether
// the leader that started it had received the ends of the earlier attempts, and if
// not, had stored that.
func (m *Machine) recordAdopted(t *task, number int) {
	if number > 1 && !t.step.spec.LongRunning {
		m.requestRestart(t, number)
		m.noteSentRestart(t, number)
	}
}

// noteSentRestart records the start of a task that has a restart record.
func (m *Machine) noteSentRestart(t *task, number int) {
	id := t.step.job().id
	if m.restarts.requested[id][t.key()] > 0 && m.restarts.sent[id][t.key()] < number {
		mergeRestarts(&m.restarts.sent, id, job.Restarts{t.key(): number})
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

// loadRestarts adds the stored restarts of a job.
func (m *Machine) loadRestarts(id job.ID, stored job.Restarts) {
	mergeRestarts(&m.restarts.requested, id, stored)
	mergeRestarts(&m.restarts.stored, id, stored)
	mergeRestarts(&m.restarts.sent, id, stored)
}

// mergeRestarts adds restarts of a job to the map, which it creates if needed.
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

// forget removes a job whose records are removed.
func (r *restarts) forget(id job.ID) {
	delete(r.requested, id)
	delete(r.stored, id)
	delete(r.sent, id)
}
