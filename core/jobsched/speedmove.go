package jobsched

import (
	"fmt"
	"iter"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/runpace"
	"github.com/guavarill/guavarill/core/workerspeed"
)

const (
	// moveOffSlowAfter is how long a serving task has to be over its target before it is
	// moved off a slow worker: four readings. A move costs its users about a second.
	moveOffSlowAfter = 2 * time.Second
	// moveOffSlowPause is the least time between two such moves of one task.
	moveOffSlowPause = 30 * time.Second
	// unavailableNotice is how long a task that has started again may still count as
	// unavailable.
	unavailableNotice = 6 * time.Second
	// maxReportAge is the age of a worker's report up to which its tasks count as
	// available: three times the time between two reports.
	maxReportAge = 3 * renewWait
	// movesAtOncePart is the part of the workers for which one move may be under way,
	// so that a mistake about speeds does not interrupt many tasks.
	movesAtOncePart = 0.05
	// slowMoveSearchesPerSweep is how many searches for another worker a sweep makes:
	// each checks all workers.
	slowMoveSearchesPerSweep = 2
)

// moveOffSlowWorkers moves serving tasks off slow workers that keep them from their
// targets.
func (m *Machine) moveOffSlowWorkers() {
	// A new leader does not know how long other tasks have been unavailable.
	if m.slowWorkers == 0 || m.now.Sub(m.recoveredAt) < unavailableNotice {
		return
	}
	searches, moves := slowMoveSearchesPerSweep, m.movesLeft()
	for _, w := range m.workers.All() {
		if !w.isSlow() || !w.isUsable(m.now) {
			continue
		}
		for _, a := range w.attempts.All() {
			if searches == 0 || moves == 0 {
				return
			}
			if !m.shouldMove(a) {
				continue
			}
			searches--
			a.nextMoveAt = m.now.Add(moveRetry)
			if target := m.bestOf(a.task, m.normalWorkers()); target != nil {
				moves--
				m.move(a, target)
			}
		}
	}
}

// movesLeft returns how many more moves may be under way.
func (m *Machine) movesLeft() int {
	left := max(int(movesAtOncePart*float64(m.workers.Len())), 1)
	for _, w := range m.workers.All() {
		for _, r := range w.reserved {
			if r.moving {
				left--
			}
		}
	}
	return max(left, 0)
}

// shouldMove reports whether the attempt is of a serving task that its worker alone keeps
// from its target, and that may be interrupted now.
func (m *Machine) shouldMove(a *attempt) bool {
	if a.overSince.IsZero() || m.now.Sub(a.overSince) < moveOffSlowAfter || m.now.Before(a.nextMoveAt) || !m.missesTargetAlone(a) {
		return false
	}
	t := a.task
	rested := t.movedAt.IsZero() || m.now.Sub(t.movedAt) >= moveOffSlowPause
	return rested && len(t.attempts) == 1 && !t.isSuspect() && !m.isReserved(t) && !m.startsHeldBack(t.step, m.now) && m.mayInterrupt(t)
}

// mayInterrupt reports whether a task of a step may be made unavailable: one at a time,
// and no more than the step allows. Tasks that are unavailable for any cause count, and
// those that may still count as such.
func (m *Machine) mayInterrupt(t *task) bool {
	unavailable := 0
	for _, other := range t.step.tasks {
		switch {
		case other == t:
		case m.isBeingMoved(other):
			return false
		case !m.isAvailable(other):
			unavailable++
		}
	}
	return unavailable < max(t.step.spec.MaxUnavailable, 1)
}

// isBeingMoved reports whether the task was moved and does not work again yet.
func (m *Machine) isBeingMoved(t *task) bool {
	return !t.movedAt.IsZero() && m.now.Sub(t.movedAt) < moveOffSlowPause && !m.isAtWork(t)
}

// isAtWork reports whether an attempt of the task works by a recent report.
func (m *Machine) isAtWork(t *task) bool { return m.workingAttempt(t) != nil }

// isAvailable reports whether the task is certain not to count as unavailable.
func (m *Machine) isAvailable(t *task) bool {
	a := m.workingAttempt(t)
	return a != nil && m.now.Sub(a.startedAt) >= unavailableNotice
}

// workingAttempt returns the attempt of the task that works by a recent report, or nil.
func (m *Machine) workingAttempt(t *task) *attempt {
	for _, a := range t.attempts {
		w := a.worker
		if a.phase == phaseRunning && a.percent >= runpace.FullPercent && w.unreachableSince.IsZero() && m.now.Sub(a.readAt) <= maxReportAge {
			return a
		}
	}
	return nil
}

// normalWorkers iterates over the workers that are known or assumed to be at normal speed
// and whose own serving tasks are within their targets.
func (m *Machine) normalWorkers() iter.Seq[*worker] {
	m.pass.Spend(m.workers.Len())
	return func(yield func(*worker) bool) {
		for _, w := range m.workers.All() {
			if w.maybeSlow(m.now) || m.slownessOf(w) >= workerspeed.NormalBelow || w.throttle.Pressure() > 1 {
				continue
			}
			if !yield(w) {
				return
			}
		}
	}
}

// move stops an attempt so that its task starts on the target, where room is reserved
// before.
func (m *Machine) move(a *attempt, target *worker) {
	t := a.task
	t.movedAt = m.now
	m.reserve(t, target, m.options.StopTime+reservationSlack, false)
	target.reserved[len(target.reserved)-1].moving = true
	m.emit(Note{
		Decision: joblog.MessageTaskMoved, Job: a.key.task.Job, Task: a.key.task.String(), Attempt: a.key.attempt, Worker: a.worker.id,
		Reason: fmt.Sprintf("to %s; over its target of %d ms for %s, now %d ms; tasks on its worker take %.1f times as long as elsewhere",
			target.id, t.step.spec.LatencyTargetMs, m.now.Sub(a.overSince).Round(time.Millisecond), a.reading, m.slownessOf(a.worker)),
	})
	m.requestStop(a, stopSlowWorker, "its worker is too slow for its target")
}
