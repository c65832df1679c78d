package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// An attempt of a task under which a worker may have crashed is a trial: its number
// is stored before it is started, so that a leader that takes over knows of it even
// if the worker and the leader before are both gone. Without that a task which
// crashes its workers while leaders are lost is started again without end, as
// nobody is left to count.

// trial is an attempt that was started, or is about to be, after a crash.
type trial struct {
	// number is the attempt's, or a lower one; 0 for none.
	number int
	// worker is empty if it may be any.
	worker model.Incarnation
	// stored is whether that is stored, inherited whether an earlier leader stored
	// it and no worker has told of the attempt yet.
	stored, inherited bool
}

// record returns the trial's stored form, nil for none.
func (t trial) record() *job.Trial {
	if t.number == 0 {
		return nil
	}
	return &job.Trial{Attempt: t.number, Worker: t.worker.ID, StartedMs: t.worker.StartedMs}
}

// namesWorker reports whether the trial is to be on a certain worker.
func (t trial) namesWorker() bool { return t.worker.ID != "" }

// isAwaitingRecord reports whether the trial is to be stored before it may begin.
func (t trial) isAwaitingRecord() bool { return t.number > 0 && !t.stored && !t.inherited }

// trialReservationTime is how long room is kept for a trial that is being stored. Without it
// the room goes to others meanwhile, and in a full cluster the task never starts.
const trialReservationTime = 500 * time.Millisecond

// needsTrial reports whether starts of the task are trials: a worker has crashed under
// it, or one may have without anybody having seen it.
func (m *Machine) needsTrial(t *task) bool {
	if len(t.crashes) > 0 || t.attemptLost {
		return true
	}
	return !t.known && t.step.job().recovered && (m.unseenCrash || m.restarts.leaseExpiredUnanswered)
}

// checkUnseenCrash reports whether a task that waits may have been on a worker that
// ended unseen, and ends unseenCrash if none may.
func (m *Machine) checkUnseenCrash() bool {
	if !m.unseenCrash && !m.restarts.leaseExpiredUnanswered {
		return false
	}
	for s := range m.pending.All() {
		if s.ready() && s.job().recovered && slices.ContainsFunc(s.tasks, (*task).maybeStartedEarlier) {
			return true
		}
	}
	m.unseenCrash = false
	return false
}

// maybeStartedEarlier reports whether the task waits, and may have been started by earlier
// leaders only.
func (t *task) maybeStartedEarlier() bool { return t.idle() && !t.known }

// mayHaveCrashed reports whether an attempt of which nothing is heard any more is to
// count as ended with its worker: a trial shortly after its start.
func (a *attempt) mayHaveCrashed() bool {
	return a.task != nil && a.task.trial.number > 0 && a.observedRunTime() < stableRunTime
}

// resolveInheritedTrial settles a trial of an earlier leader of which no worker tells,
// though nothing is waited for any more. If its worker has ended, it has ended with
// it. One that names no worker may have, if any worker has ended unseen.
func (m *Machine) resolveInheritedTrial(t *task) {
	if !t.trial.inherited {
		return
	}
	w := m.trialIncarnation(t.trial.worker)
	named := t.trial.namesWorker()
	if named && (w == nil || w.ended) || !named && m.unseenCrash {
		m.countCrash(t, job.Crash{Attempt: t.trial.number, ObservedRunMs: job.ObservedRunUnknown, Uncertain: !named})
		return
	}
	t.trial = trial{}
	m.markDirty(t.step.job())
}

// trialIncarnation returns the session with the worker that a record names: with the latest
// of its id if the record does not say which incarnation it was.
func (m *Machine) trialIncarnation(id model.Incarnation) *worker {
	if w := m.workers.Get(id); w != nil || id.StartedMs != 0 {
		return w
	}
	return m.latestIncarnation(id.ID)
}

// ensureTrialStored reports whether the task may be started on the worker as far as the
// record of its trial goes, and has it stored if not. The record names the worker of
// a task that is watched, and room is kept there meanwhile.
func (m *Machine) ensureTrialStored(t *task, w *worker) bool {
	switch {
	case !m.needsTrial(t):
		return true
	case t.isSuspect() && t.trial.worker != w.id:
		m.requestTrial(t, w.id)
		m.countTrial(t, w)
		if !t.step.spec.Gang {
			m.reserve(t, w, trialReservationTime, true)
		}
	case t.trial.number == 0:
		m.requestTrial(t, model.Incarnation{})
	}
	return t.trial.stored
}

// requestTrial has it stored that the task is about to be started, on the worker
// that is named or on any.
func (m *Machine) requestTrial(t *task, on model.Incarnation) {
	t.trial = trial{number: t.last + 1, worker: on}
	m.markDirty(t.step.job())
}

// prepareRestart has stored what must be before a task is started again that has
// just lost an attempt, together with that loss.
func (m *Machine) prepareRestart(t *task) {
	if t == nil || !t.idle() || t.step.job().state.Final() {
		return
	}
	m.ensureRestartStored(t)
	if !t.isSuspect() && t.trial.number == 0 && m.needsTrial(t) {
		m.requestTrial(t, model.Incarnation{})
	}
}

// startTrial starts a task whose trial is stored on the worker that the record
// names, and takes the trial back if it can't go there any more.
func (m *Machine) startTrial(t *task) bool {
	w := m.workers.Get(t.trial.worker)
	if w == nil || !m.isFeasible(t, w) {
		m.dropTrial(t)
		return false
	}
	m.startAttempt(t, w, t.last+1)
	return true
}

// ensureGangTrialsStored is trialStored for all members of a gang and their workers.
func (m *Machine) ensureGangTrialsStored(s *step, placed []*worker) bool {
	all := true
	for i, t := range s.tasks {
		all = m.ensureTrialStored(t, placed[i]) && all
	}
	return all
}

// dropTrial takes back a trial that did not begin.
func (m *Machine) dropTrial(t *task) {
	if t.trial.number == 0 || t.trial.inherited || !t.idle() {
		return
	}
	t.trial = trial{}
	m.markDirty(t.step.job())
}

// dropTrialOnWorker is dropTrial for a trial that names its worker: one that does not
// is as good elsewhere.
func (m *Machine) dropTrialOnWorker(t *task) {
	if t.trial.namesWorker() {
		m.dropTrial(t)
	}
}

// dropTrials takes back all trials that did not begin.
func (m *Machine) dropTrials() {
	for s := range m.pending.All() {
		for _, t := range s.tasks {
			m.dropTrial(t)
		}
	}
}

// adoptTrial takes in that an attempt which an earlier leader started runs.
func (m *Machine) adoptTrial(t *task, attempt int, on model.Incarnation) {
	if m.needsTrial(t) {
		t.trial = trial{number: attempt, worker: on, stored: t.trial.inherited}
		m.markDirty(t.step.job())
	}
	t.known = true
}

// endTrial takes in that an attempt has ended: otherwise than with its worker,
// or its crash is counted already.
func (m *Machine) endTrial(t *task, a *attempt, cause EndCause) {
	ofTrial := t.trial.number > 0 && a.key.attempt >= t.trial.number
	cleared := cause != endLost && len(t.crashes) > 0 && a.observedRunTime() >= stableRunTime
	if ofTrial {
		t.trial = trial{}
	}
	if cleared {
		t.crashes = nil
	}
	if ofTrial || cleared {
		m.markDirty(t.step.job())
	}
}

// trialsIn returns the trials in some records.
func trialsIn(records []ProgressRecord) map[job.TaskKey]job.Trial {
	found := make(map[job.TaskKey]job.Trial)
	for _, r := range records {
		for number, o := range r.Progress.Occurrences {
			for step, s := range o.Steps {
				for index, t := range s.Tasks {
					if t.Trial != nil {
						found[job.TaskKey{Job: r.ID, Occurrence: number, Step: step, Index: index}] = *t.Trial
					}
				}
			}
		}
	}
	return found
}

// markTrialsStored takes in that trials are stored.
func (m *Machine) markTrialsStored(stored map[job.TaskKey]job.Trial) {
	for key, record := range stored {
		if t := m.task(key); t != nil && t.trial.number == record.Attempt && t.trial.worker == record.Incarnation() {
			t.trial.stored = true
			m.changed = true
		}
	}
}
