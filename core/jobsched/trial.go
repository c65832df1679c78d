package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// An attempt of a task under which a worker may have crashed is a trial. Its number
// is stored before it is started, so that a leader that takes over knows of it even
// if both the worker and the previous leader are gone. Otherwise a task that
// crashes its workers while leaders are being lost is started again without end,
// because no one counts its crashes.

// trial is an attempt that was started, or is about to be, after a crash of its
// task.
type trial struct {
	// number is that of the attempt, or a lower one; 0 if there is no trial.
	number int
	// worker is the intended worker; empty if any will do.
	worker model.Incarnation
	// stored is whether the trial's record is stored. inherited is whether an
	// earlier leader stored it and no worker has reported the attempt yet.
	stored, inherited bool
}

// record returns the stored form of the trial, or nil if there is none.
func (t trial) record() *job.Trial {
	if t.number == 0 {
		return nil
	}
	return &job.Trial{Attempt: t.number, Worker: t.worker.ID, StartedMs: t.worker.StartedMs}
}

// bindsTrial reports whether the trials of the task are bound to certain workers. A task
// with a vague crash is no suspect for it, but if its trials named no worker, each new
// leader could count one that had not begun.
func (t *task) bindsTrial() bool { return t.isSuspect() || t.crashes.HasVague() }

// namesWorker reports whether the trial is bound to a certain worker.
func (t trial) namesWorker() bool { return t.worker.ID != "" }

// isAwaitingRecord reports whether the trial's record must be stored before the
// trial may begin.
func (t trial) isAwaitingRecord() bool { return t.number > 0 && !t.stored && !t.inherited }

// trialReservationTime is how long room is reserved for a trial whose record is
// being stored. Without the reservation other tasks would take the room, and in a
// full cluster the task would never start.
const trialReservationTime = 500 * time.Millisecond

// needsTrial reports whether starts of the task are trials: a worker has crashed
// under it, or one may have crashed unseen.
func (m *Machine) needsTrial(t *task) bool {
	if len(t.crashes) > 0 || t.attemptLost {
		return true
	}
	return !t.known && t.step.job().recovered && (m.unseenCrash || m.restarts.leaseExpiredUnanswered)
}

// checkUnseenCrash reports whether a pending task may have been on a worker that
// ended unseen. It clears unseenCrash if there is none.
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

// maybeStartedEarlier reports whether the task waits and may have been started only
// by earlier leaders.
func (t *task) maybeStartedEarlier() bool { return t.idle() && !t.known }

// isTrial reports whether the attempt is its task's trial, and not one before it that a
// roster still lists.
func (a *attempt) isTrial() bool {
	return a.task != nil && a.task.trial.number > 0 && a.key.attempt >= a.task.trial.number
}

// mayHaveCrashed reports whether an attempt on an unreachable worker must count as
// ended by a crash: it is a trial that had run for less than stableRunTime.
func (a *attempt) mayHaveCrashed() bool {
	return a.isTrial() && a.observedRunTime() < stableRunTime
}

// resolveInheritedTrial resolves a trial of an earlier leader that no worker has
// reported, although no worker is being waited for any more. If the trial's worker
// has ended, the attempt ended with it. A trial that names no worker may have ended
// that way if any worker has ended unseen. A trial that has not begun is followed by
// another: nothing else may tell that a worker has crashed under the task.
func (m *Machine) resolveInheritedTrial(t *task) {
	if !t.trial.inherited {
		return
	}
	w := m.trialIncarnation(t.trial.worker)
	named := t.trial.namesWorker()
	if named && (w == nil || w.ended) || !named && m.unseenCrash {
		m.countCrash(t, job.Crash{
			Attempt: t.trial.number, ObservedRunMs: job.ObservedRunUnknown, Uncertain: !named,
			Correlated: m.wasAmidMassCrash(t.step, w, named),
		}, m.lastHeard(w))
		return
	}
	t.trial = trial{}
	t.attemptLost = true
	m.markDirty(t.step.job())
}

// wasAmidMassCrash reports whether an unreported trial ended in a mass crash: on worker
// w, which is nil if it has left, or on any of those that ended unseen.
func (m *Machine) wasAmidMassCrash(s *step, w *worker, named bool) bool {
	if named {
		return w != nil && m.isMassCrash(s, w)
	}
	return m.unseenEnds > massCrashWorkers
}

// trialIncarnation returns the worker that a trial's record names. If the record
// lacks the incarnation, that is the latest one of the id.
func (m *Machine) trialIncarnation(id model.Incarnation) *worker {
	if w := m.workers.Get(id); w != nil || id.StartedMs != 0 {
		return w
	}
	return m.latestIncarnation(id.ID)
}

// ensureTrialStored reports whether the task may be started on the worker as far as
// its trial record is concerned. If not, it requests that the record be stored. For
// a task whose trials are bound the record names the worker, and room is reserved there
// meanwhile.
func (m *Machine) ensureTrialStored(t *task, w *worker) bool {
	switch {
	case !m.needsTrial(t):
		return true
	case t.bindsTrial() && t.trial.worker != w.id:
		m.requestTrial(t, w.id)
		m.countTrial(t, w)
		if !t.step.spec.Gang {
			m.requestedTrials.Set(t, struct{}{})
			m.reserve(t, w, trialReservationTime, true)
		}
	case t.trial.number == 0:
		m.requestTrial(t, model.Incarnation{})
	}
	return t.trial.stored
}

// requestTrial requests that a trial record for the next attempt be stored, bound
// to a worker if one is given.
func (m *Machine) requestTrial(t *task, on model.Incarnation) {
	t.trial = trial{number: t.last + 1, worker: on}
	m.markDirty(t.step.job())
}

// prepareRestart requests the records that must be stored before a task that has
// just lost an attempt is started again, so that they are stored together with the
// loss. It requests none while starts of the job are held back: a worker that has not
// answered yet may run a later attempt of the task.
func (m *Machine) prepareRestart(t *task) {
	if t == nil || !t.idle() || t.step.job().state.Final() || m.startsHeld(t.step.job()) {
		return
	}
	m.ensureRestartStored(t)
	if !t.bindsTrial() && t.trial.number == 0 && m.needsTrial(t) {
		m.requestTrial(t, model.Incarnation{})
	}
}

// startTrial starts a task, whose trial record is stored, on the worker in the
// record. It drops the trial if that worker is no longer feasible.
func (m *Machine) startTrial(t *task) bool {
	w := m.workers.Get(t.trial.worker)
	if w == nil || !m.isFeasible(t, w) {
		m.dropTrial(t)
		return false
	}
	m.startAttempt(t, w, t.last+1)
	return true
}

// ensureGangTrialsStored calls ensureTrialStored for all members of a gang and
// their workers.
func (m *Machine) ensureGangTrialsStored(s *step, placed []*worker) bool {
	all := true
	for i, t := range s.tasks {
		all = m.ensureTrialStored(t, placed[i]) && all
	}
	return all
}

// dropTrial drops a trial that has not begun.
func (m *Machine) dropTrial(t *task) {
	if t.trial.number == 0 || t.trial.inherited || !t.idle() {
		return
	}
	t.trial = trial{}
	m.markDirty(t.step.job())
}

// dropTrialOnWorker drops a trial that has not begun if it is bound to a worker. A
// trial that is not can begin on any other worker.
func (m *Machine) dropTrialOnWorker(t *task) {
	if t.trial.namesWorker() {
		m.dropTrial(t)
	}
}

// dropTrials drops all trials that have not begun.
func (m *Machine) dropTrials() {
	for s := range m.pending.All() {
		for _, t := range s.tasks {
			m.dropTrial(t)
		}
	}
}

// adoptTrial records that an attempt started by an earlier leader is running.
func (m *Machine) adoptTrial(t *task, attempt int, on model.Incarnation) {
	if m.needsTrial(t) {
		t.trial = trial{number: attempt, worker: on, stored: t.trial.inherited}
		m.markDirty(t.step.job())
	}
	t.known = true
}

// endTrial updates the trial and the crashes of a task after the end of an attempt.
// The end is not a crash, or the crash has been counted already.
func (m *Machine) endTrial(t *task, a *attempt, cause EndCause) {
	ofTrial := a.isTrial()
	if cause == EndDone || cause == EndFailed {
		m.notePassedTrial(a)
	}
	crashesCleared := cause != endLost && len(t.crashes) > 0 && a.observedRunTime() >= stableRunTime
	if ofTrial {
		t.trial = trial{}
	}
	switch {
	case cause == endLost:
		t.endMissing = true
	case crashesCleared:
		t.crashes = nil
	case cause != EndDone:
		t.crashes = t.crashes.AddOtherEnd()
	}
	if ofTrial || crashesCleared {
		m.markDirty(t.step.job())
	}
}

// trialsIn returns the trials in the given records.
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

// markTrialsStored marks trials as stored after a commit.
func (m *Machine) markTrialsStored(stored map[job.TaskKey]job.Trial) {
	for key, record := range stored {
		if t := m.task(key); t != nil && t.trial.number == record.Attempt && t.trial.worker == record.Incarnation() {
			t.trial.stored = true
			m.changed = true
		}
	}
}
