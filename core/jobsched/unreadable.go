package jobsched

import (
	"maps"
	"slices"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

// maxDeferredEnds bounds the ends that a worker keeps for unreadable jobs. Ends are
// acknowledged in order and reported 500 at a time: without a bound, one deferred
// end would defer the acknowledgement of all later ends, and in time keep new ones
// from being reported.
const maxDeferredEnds = 50

// unreadableJob is a job whose records cannot be read. None of its tasks is
// started, since it is unknown which are done. Its running attempts are left
// running, since they may still be needed.
type unreadableJob struct {
	// record is nil if the accepted record cannot be read either.
	record *job.Accepted
	ends   []deferredEnd
}

// deferredEnd is the end of an attempt of an unreadable job. It is processed once
// the job's records can be read.
type deferredEnd struct {
	worker *worker
	end    EndedAttempt
}

// markUnreadable records that a job cannot be read. A job that the machine already
// knows continues with its known state.
func (m *Machine) markUnreadable(id job.ID, record *job.Accepted) {
	if _, over := m.final[id]; over || m.jobs.Has(id) || m.unreadable[id] != nil {
		return
	}
	m.unreadable[id] = &unreadableJob{record: record}
	m.emit(Note{Decision: joblog.MessageJobSetAside, Job: id, Reason: "its records cannot be read; none of its tasks is started, and its running attempts are left running"})
}

// markAllUnreadable records the jobs whose records cannot be read at a takeover.
func (m *Machine) markAllUnreadable(jobs map[job.ID]*job.Accepted) {
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		m.markUnreadable(id, jobs[id])
	}
}

// jobReread adds a job whose records can be read again, as at a takeover: first the
// records are applied, then the ends and attempts seen in the meantime. If the
// records have been removed, the job is unknown and its attempts are stopped.
func (m *Machine) jobReread(ev JobReread) {
	unreadable := m.unreadable[ev.ID]
	if unreadable == nil {
		if ev.Record != nil {
			m.jobAccepted(JobAccepted{ID: ev.ID, Record: ev.Record})
		}
		return
	}
	delete(m.unreadable, ev.ID)
	running := m.releaseAttempts(ev.ID)
	if ev.Progress != nil {
		m.loadRestarts(ev.ID, ev.Progress.Restarts)
	}
	switch {
	case ev.Progress != nil && ev.Progress.State.Final():
		m.retainFinal(ev.ID)
	case ev.Record != nil:
		m.emit(Note{Decision: joblog.MessageJobTakenIn, Job: ev.ID, Reason: "its records can be read again"})
		m.recoverJob(ev.ID, ev.Record, ev.Progress)
		if j := m.jobs.Get(ev.ID); j != nil {
			j.wasUnreadable = true
		}
	}
	for _, e := range unreadable.ends {
		m.processEnd(e.worker, &e.end)
	}
	for _, a := range running {
		m.adoptRunning(a.worker, &RunningAttempt{Key: a.key.task, Attempt: a.key.attempt, Percent: a.percent})
	}
	m.changed = true
}

// releaseAttempts removes the running attempts of an unreadable job from their
// workers and returns them, to be adopted again.
func (m *Machine) releaseAttempts(id job.ID) []*attempt {
	var released []*attempt
	for _, w := range m.workers.All() {
		for _, a := range w.attempts.All() {
			if a.task == nil && a.key.task.Job == id && a.phase == phaseRunning {
				w.remove(a)
				m.orphans--
				released = append(released, a)
			}
		}
	}
	return released
}

// deferEnd stores the end of an attempt of an unreadable job for later.
func (m *Machine) deferEnd(unreadable *unreadableJob, w *worker, e *EndedAttempt) {
	key := attemptKey{task: e.Key, attempt: e.Attempt}
	delete(w.lost, key)
	if a := w.attempts.Get(key); a != nil {
		m.noteAttempt(joblog.MessageAttemptEnded, a, string(e.Cause))
		m.endAttempt(a, e.Cause, "")
	}
	unreadable.ends = append(unreadable.ends, deferredEnd{worker: w, end: *e})
}

// isEndDeferred reports whether an end must not be acknowledged yet because its job
// is unreadable: the worker is the only one that can report it to the next leader.
// From maxDeferredEnds on it is acknowledged anyway. This leader still has it, but
// after another takeover the job, once readable, would run the task again.
func (m *Machine) isEndDeferred(w *worker, e unackedEnd) bool {
	return m.unreadable[e.task.Job] != nil && len(w.unackedEnds) < maxDeferredEnds
}
