package jobsched

import (
	"maps"

	"github.com/guavarill/guavarill/core/job"
)

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
	j, number := t.step.job(), t.step.occurrence.number
	return !t.step.spec.LongRunning && (t.attemptLost || number < j.recoveredEnd && (j.wasUnreadable || m.restarts.leaseExpiredUnanswered))
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
// not, had stored that. Of a task that may have copies the first end as done counts,
// whichever attempt it is of.
func (m *Machine) recordAdopted(t *task, number int) {
	if number > 1 && !m.allowsCopies(t.step) && !t.step.spec.LongRunning {
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
