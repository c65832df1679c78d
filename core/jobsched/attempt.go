package jobsched

import (
	"cmp"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// phase is how far an attempt has come, as far as the machine knows.
type phase int

const (
	// phaseStarting: the start is sent and not answered.
	phaseStarting phase = iota
	// phaseRunning: the worker has said that it runs.
	phaseRunning
	// phaseDoubtful: the start got no answer; the attempt may run now or may be
	// begun seconds later, until a stop has barred it.
	phaseDoubtful
	// phaseStopping: it runs, or ran, and is to stop.
	phaseStopping
)

// attemptKey names an attempt within one worker.
type attemptKey struct {
	task    job.TaskKey
	attempt int
}

// compare orders keys by their tasks, then by the attempts' numbers.
func (k attemptKey) compare(other attemptKey) int {
	return cmp.Or(k.task.Compare(other.task), cmp.Compare(k.attempt, other.attempt))
}

// attempt is one placement of a task. It exists until it is certain that the
// task does not run there and will not.
type attempt struct {
	key    attemptKey
	worker *worker
	// task is nil for an attempt that nobody wants: of a job that is over, or
	// that the machine does not know; and for one of a job that is set aside,
	// which is left alone.
	task  *task
	phase phase
	// previousWorker is the incarnation of its worker on which it may have been, which has
	// ended since; nil once the one that followed has listed it.
	previousWorker *worker
	// inherited is set while only an earlier leader's roster says that it may run:
	// its worker has not answered this leader.
	inherited bool
	// adopted is set when an earlier leader started it, it is not known when.
	adopted bool
	size    model.Resources
	// bestEffortCPU is the processor time that it would use, if its share is
	// not committed.
	bestEffortCPU int64
	longRunning   bool
	startedAt     time.Time
	// stopAckedAt is when the worker acknowledged the last stop; a report asked
	// for later that does not list the attempt shows that it is over.
	stopAckedAt time.Time
	stopSentAt  time.Time
	percent     int
	// advancedAt is when percent last grew.
	advancedAt time.Time
	// reading is the last one, taken in at readAt.
	reading int64
	readAt  time.Time
	// learnKey names the attempt to the learner of interference.
	learnKey model.TaskKey
	// image is the number of its image, when learnKey is set.
	image int
	// throttle is the share last acknowledged, at throttledAt.
	throttle        int
	throttledAt     time.Time
	throttlePending bool
	// nextNoteAt is when it may be noted again that its worker does not answer.
	nextNoteAt time.Time
	// nextMoveAt is when another worker may be sought for it again.
	nextMoveAt time.Time
}

// isReclaimable reports whether the attempt ends, or could be ended for more urgent
// work.
func (a *attempt) isReclaimable() bool { return !a.longRunning || a.phase == phaseStopping }

// beginStop notes that the attempt is to stop.
func (m *Machine) beginStop(a *attempt) {
	if !a.isReclaimable() {
		a.worker.reclaimable = a.worker.reclaimable.Add(a.size)
	}
	m.setPhase(a, phaseStopping)
}

// setPhase notes how far the attempt has come.
func (m *Machine) setPhase(a *attempt, p phase) {
	m.countStarting(a, -1)
	a.phase = p
	m.countStarting(a, 1)
}

// countStarting counts the attempt if its start is sent and not answered.
func (m *Machine) countStarting(a *attempt, by int) {
	if a.phase == phaseStarting {
		m.starting += by
	}
}

// step returns the step that the attempt works for, or nil.
func (a *attempt) step() *step {
	if a.task == nil {
		return nil
	}
	return a.task.step
}
