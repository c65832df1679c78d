package jobsched

import (
	"cmp"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// phase is the state of an attempt as far as the machine knows.
type phase int

const (
	// phaseStarting: the start has been sent but not answered.
	phaseStarting phase = iota
	// phaseRunning: the worker has confirmed that the attempt runs.
	phaseRunning
	// phaseDoubtful: the start got no answer. The attempt may be running, or may
	// begin seconds later, until the worker has acknowledged a stop.
	phaseDoubtful
	// phaseStopping: the attempt runs, or ran, and is being stopped.
	phaseStopping
)

// attemptKey identifies an attempt within one worker.
type attemptKey struct {
	task    job.TaskKey
	attempt int
}

// compare orders keys by task, then by attempt number.
func (k attemptKey) compare(other attemptKey) int {
	return cmp.Or(k.task.Compare(other.task), cmp.Compare(k.attempt, other.attempt))
}

// attempt is one placement of a task. It exists until it is certain that the task
// does not run there and will not start there.
type attempt struct {
	key    attemptKey
	worker *worker
	// task is nil for an orphan: an attempt of a job that is over or unknown. It is
	// also nil for an attempt of an unreadable job, which is left running.
	task  *task
	phase phase
	// previousWorker is the earlier incarnation of the worker on which the attempt
	// may have run before that incarnation ended. It is nil once the following
	// incarnation has listed the attempt.
	previousWorker *worker
	// inherited is set while the roster of an earlier leader is the only evidence
	// of the attempt, because its worker has not answered this leader.
	inherited bool
	// adopted is set when an earlier leader started the attempt, at an unknown
	// time.
	adopted bool
	// listed is set once a report of its worker has listed the attempt, listedIn is the
	// number of the last such report.
	listed   bool
	listedIn uint64
	// passedTrial is set once the attempt has been counted as a passed isolated trial.
	passedTrial bool
	size        model.Resources
	// class is the class of work that the size counts for; nil if it counts for none.
	class *roomClass
	// bestEffortCPU is the processor use of a best-effort task, in thousandths of a
	// core. It is not part of the committed size.
	bestEffortCPU int64
	// overcommitted is set for a best-effort attempt that was started on a worker
	// without free processors for it, until endOvercommit finds that there are. It runs
	// at overcommittedShare.
	overcommitted bool
	longRunning   bool
	// copy is set for the second attempt of a slow task, and beaten for an attempt whose
	// task the other one of the two has done.
	copy, beaten bool
	// sentAt is when its start was sent, zero if this leader did not send it; startedAt is
	// when it was known to run.
	sentAt, startedAt time.Time
	// seenBefore is how long earlier leaders have seen the attempt running.
	seenBefore time.Duration
	// seenFromStart is set if an adopted attempt has been seen since its start.
	seenFromStart bool
	// stopAckedAt is when the worker acknowledged the last stop. A report requested
	// after it that does not list the attempt proves that the attempt is over.
	stopAckedAt time.Time
	stopSentAt  time.Time
	percent     int
	// advancedAt is when percent last changed.
	advancedAt time.Time
	pace       attemptPace
	// reading is the last reading, received at readAt.
	reading int64
	readAt  time.Time
	// learnKey identifies the attempt in the interference learner.
	learnKey model.TaskKey
	// image is the index of its image. It is valid when learnKey is set.
	image int
	// throttle is the share, in percent, that the worker last acknowledged, at
	// throttledAt.
	throttle        int
	throttledAt     time.Time
	throttlePending bool
	// throttleUnknown is set for an attempt that an earlier leader may have throttled,
	// until its worker has acknowledged a share of this leader.
	throttleUnknown bool
	// nextNoteAt is when the next note may report that its worker is unreachable.
	nextNoteAt time.Time
	// nextMoveAt is when the next search for another worker may be made.
	nextMoveAt time.Time
	// overSince is since when the reading has been above the target; zero if it is not.
	// It is kept while the speeds of workers are learned.
	overSince time.Time
	// aloneSlowness is its last reading without best-effort work at work beside it, as a
	// multiple of what was usual for its step; 0 if there was none. It is kept while the
	// speeds of workers are learned.
	aloneSlowness float64
}

// isReclaimable reports whether the attempt's room is being freed, or could be
// freed by preemption.
func (a *attempt) isReclaimable() bool { return !a.longRunning || a.phase == phaseStopping }

// beginStop moves the attempt to phaseStopping.
func (m *Machine) beginStop(a *attempt) {
	if !a.isReclaimable() {
		a.worker.reclaimable = a.worker.reclaimable.Add(a.size)
	}
	m.setPhase(a, phaseStopping)
}

// setPhase changes the attempt's phase and keeps the count of unanswered starts.
func (m *Machine) setPhase(a *attempt, p phase) {
	m.countStarting(a, -1)
	a.phase = p
	m.countStarting(a, 1)
}

// countStarting adds by to the count of unanswered starts if the attempt is one of
// them.
func (m *Machine) countStarting(a *attempt, by int) {
	if a.phase == phaseStarting {
		m.starting += by
	}
}

// step returns the attempt's step, or nil for an orphan.
func (a *attempt) step() *step {
	if a.task == nil {
		return nil
	}
	return a.task.step
}
