package jobsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/joborder"
	"github.com/guavarill/guavarill/core/model"
)

// This file bounds the wait of short tasks that are larger than the gaps between others.
// It answers a load of many small tasks in full workers, which take each gap as soon as
// it opens. After half of the time that its job can spare, room is reserved for the
// longest-waiting of them on the worker that has it first; it waits for as long as the
// attempts there still run.

// reserveForLargeTasks reserves room for the longest-waiting short task, one of each
// service at a time.
func (m *Machine) reserveForLargeTasks() {
	if !m.options.Policies.ShareRoom {
		return
	}
	for service, s := range m.longestWaitingShortSteps() {
		if t := m.shares.largeTasks[service]; t != nil && t.idle() && m.isReserved(t) {
			continue
		}
		if t := firstUnreserved(m, s); t != nil {
			m.reserveSoonestRoom(service, t)
		}
	}
}

// longestWaitingShortSteps returns, by service, the step with short tasks that has
// waited longest, of those that have waited for half of the time that they can spare.
func (m *Machine) longestWaitingShortSteps() map[string]*step {
	longest := make(map[string]*step)
	for s := range m.pending.All() {
		if s.waitingSince.IsZero() || !s.ready() || s.job().state.Final() || !m.mayReserveLarge(s) {
			continue
		}
		service := m.queue(s.job()).Service
		if other := longest[service]; other == nil || s.waitingSince.Before(other.waitingSince) {
			longest[service] = s
		}
	}
	return longest
}

// mayReserveLarge reports whether the step has waited long enough for room to be
// reserved for one of its tasks.
func (m *Machine) mayReserveLarge(s *step) bool {
	spec := s.spec
	if spec.LongRunning || spec.BestEffort || spec.Gang || m.startsHeldBack(s, m.now) {
		return false
	}
	spare := time.Duration(m.allowanceMs(s.occurrence)-s.occurrence.criticalPathMs) * time.Millisecond
	return m.now.Sub(s.waitingSince) >= spare/2 && m.lateness(s.occurrence) != joborder.TooLate
}

// firstUnreserved returns the first task of the step that needs an attempt and for which
// no room is reserved, or nil.
func firstUnreserved(m *Machine, s *step) *task {
	for _, t := range s.tasks {
		if t.idle() && !t.isSuspect() && !m.isReserved(t) {
			return t
		}
	}
	return nil
}

// reserveSoonestRoom reserves room for a task on the worker that is expected to have it
// first.
func (m *Machine) reserveSoonestRoom(service string, t *task) {
	var best *worker
	var soonest time.Duration
	for _, w := range m.workers.All() {
		if !m.passes(fitFilters, t, w) || !filterSpread(m, t, w) || !filterTrial(m, t, w) {
			continue
		}
		if wait, ok := m.timeToRoom(t, w); ok && (best == nil || wait < soonest) {
			best, soonest = w, wait
		}
	}
	if best == nil {
		return
	}
	m.reserve(t, best, joborder.LateFactor*soonest+reservationSlack, false)
	m.shares.largeTasks[service] = t
}

// timeToRoom estimates how long it takes until enough short attempts on w have ended for
// the task to fit. It returns false if there are not enough of them.
func (m *Machine) timeToRoom(t *task, w *worker) (time.Duration, bool) {
	need, room := t.step.spec.Committed(), w.roomFor(t)
	if !need.Fits(room.Add(w.reclaimable)) {
		return 0, false
	}
	type end struct {
		in   time.Duration
		size model.Resources
	}
	var ends []end
	for _, a := range w.attempts.All() {
		if a.task != nil && a.isReclaimable() {
			ends = append(ends, end{m.timeLeft(a), a.size})
		}
	}
	slices.SortStableFunc(ends, func(a, b end) int { return cmp.Compare(a.in, b.in) })
	wait := time.Duration(0)
	for _, e := range ends {
		if need.Fits(room) {
			break
		}
		wait, room = e.in, room.Add(e.size)
	}
	return wait, need.Fits(room)
}

// timeLeft estimates how long the attempt still runs.
func (m *Machine) timeLeft(a *attempt) time.Duration {
	if a.phase == phaseStopping {
		return m.options.StopTime
	}
	estimate := m.runTimes.Of(m.queue(a.step().job()).Name) * float64(a.step().spec.EstimateMs)
	return max(time.Duration(estimate)*time.Millisecond-m.now.Sub(a.startedAt), 0)
}
