package jobsched

import (
	"maps"
	"slices"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

// maxDeferredEnds is how many ends a worker keeps for the sake of a job that is
// set aside. Ends are acknowledged in their order and told 500 at a time: held
// back without a bound, one end of such a job would keep back those of all
// others, and in the end from being heard of.
const maxDeferredEnds = 50

// unreadableJob is a job whose records cannot be read. Nothing of it is started,
// since it is not known what is done; what runs of it is left alone, since it may
// be wanted.
type unreadableJob struct {
	// record is nil when it cannot be read either.
	record *job.Accepted
	ends   []deferredEnd
}

// deferredEnd is an end of an attempt of a job that is set aside. It is settled when
// the job's records can be read again.
type deferredEnd struct {
	worker *worker
	end    EndedAttempt
}

// markUnreadable sets a job aside. One that the machine knows goes on by what it knows.
func (m *Machine) markUnreadable(id job.ID, record *job.Accepted) {
	if _, over := m.final[id]; over || m.jobs.Has(id) || m.unreadable[id] != nil {
		return
	}
	m.unreadable[id] = &unreadableJob{record: record}
	m.emit(Note{Decision: joblog.MessageJobSetAside, Job: id, Reason: "its records cannot be read; nothing of it is started, and what runs is left alone"})
}

// markAllUnreadable sets the jobs aside whose records cannot be read at a take-over.
func (m *Machine) markAllUnreadable(jobs map[job.ID]*job.Accepted) {
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		m.markUnreadable(id, jobs[id])
	}
}

// jobReread takes a job in whose records can be read again, as at a take-over:
// first by them, then by what its attempts did meanwhile. A job whose records are
// gone is not known any more, and what runs of it is stopped.
func (m *Machine) jobReread(ev JobReread) {
	aside := m.unreadable[ev.ID]
	if aside == nil {
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
	for _, e := range aside.ends {
		m.processEnd(e.worker, &e.end)
	}
	for _, a := range running {
		m.adoptRunning(a.worker, &RunningAttempt{Key: a.key.task, Attempt: a.key.attempt, Percent: a.percent})
	}
	m.changed = true
}

// releaseAttempts takes the attempts of a job that was set aside from their
// workers, to be adopted anew.
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

// deferEnd keeps an end of an attempt of a job that is set aside.
func (m *Machine) deferEnd(aside *unreadableJob, w *worker, e *EndedAttempt) {
	key := attemptKey{task: e.Key, attempt: e.Attempt}
	delete(w.lost, key)
	if a := w.attempts.Get(key); a != nil {
		m.noteAttempt(joblog.MessageAttemptEnded, a, string(e.Cause))
		m.endAttempt(a, e.Cause, "")
	}
	aside.ends = append(aside.ends, deferredEnd{worker: w, end: *e})
}

// isEndDeferred reports whether an end that w keeps must not be acknowledged yet,
// because its job is set aside: the worker alone can tell the next leader of it.
// Beyond asideEndsMost it is acknowledged all the same. This leader knows it
// still; after another take-over a repaired job would do such a task again.
func (m *Machine) isEndDeferred(w *worker, e unackedEnd) bool {
	return m.unreadable[e.task.Job] != nil && len(w.unackedEnds) < maxDeferredEnds
}
