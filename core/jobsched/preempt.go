package jobsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// reservation keeps room on a worker for a task while other attempts are stopped to
// free it. Otherwise the room would go to whatever task is placed next, and the
// task would wait as long as smaller ones keep arriving.
type reservation struct {
	task  *task
	size  model.Resources
	until time.Time
	// trial is set for a task that is about to go on trial there.
	trial bool
	// moving is set for a task that is being stopped elsewhere to start there.
	moving bool
}

// reservationSlack is how long a reservation outlasts StopTime: the end of a
// stopped attempt only becomes known with the next report.
const reservationSlack = 1500 * time.Millisecond

// roomFor returns the room that is neither committed nor reserved for other tasks.
func (w *worker) roomFor(t *task) model.Resources {
	room := w.room()
	for _, r := range w.reserved {
		if r.task != t {
			room = room.Sub(r.size)
		}
	}
	return room
}

// dropReservations removes reservations that have expired, whose task has started
// or is to be tried elsewhere, or whose job is over, and all of a worker in a cordoned
// zone. It runs only between placement rounds, because a round relies on room not
// increasing.
func (m *Machine) dropReservations(w *worker) {
	if len(w.reserved) == 0 {
		return
	}
	if m.isCordoned(w) {
		w.reserved = nil
		return
	}
	w.reserved = slices.DeleteFunc(w.reserved, func(r reservation) bool {
		elsewhere := r.trial && r.task.trial.worker != w.id
		return !m.now.Before(r.until) || elsewhere || !r.isAwaited() || r.task.step.job().state.Final()
	})
}

// isAwaited reports whether the task still needs the room: it has no attempt, or one that
// is being stopped for it.
func (r *reservation) isAwaited() bool {
	attempts := r.task.attempts
	return r.task.idle() || r.moving && len(attempts) == 1 && attempts[0].phase == phaseStopping
}

// startReserved starts the tasks with a reservation on the worker as soon as they
// fit. Waiting for the step's turn might be too late: a turn ends with the first
// task that fits nowhere.
func (m *Machine) startReserved(w *worker) {
	for _, r := range slices.Clone(w.reserved) {
		t := r.task
		if t.idle() && t.step.ready() && !m.startsHeldBack(t.step, m.now) && m.isFeasible(t, w) && m.ensureRestartStored(t) && m.mayStartAfterCrashes(t) && m.ensureTrialStored(t, w) {
			m.startAttempt(t, w, t.last+1)
			// Otherwise the reservation would count in addition to the attempt for
			// the following tasks.
			m.dropReservations(w)
		}
	}
}

// isReserved reports whether room is already reserved for the task.
func (m *Machine) isReserved(t *task) bool {
	w := t.reservedOn
	if w == nil || m.workers.Get(w.id) != w {
		return false
	}
	return slices.ContainsFunc(w.reserved, func(r reservation) bool { return r.task == t })
}

// hasWaitedLong reports whether the step's long-running tasks have waited long
// enough for room to preempt short work of the same or higher priority.
func (m *Machine) hasWaitedLong(s *step) bool {
	return !s.waitingSince.IsZero() && m.now.Sub(s.waitingSince) >= longRunningMaxWait
}

// preempt makes room for a task that fits nowhere by stopping less urgent attempts
// on the worker where that loses the least work. It returns false if no worker has
// enough of them.
func (m *Machine) preempt(t *task) bool {
	if t.step.spec.BestEffort || t.step.spec.Gang {
		return false
	}
	if m.isReserved(t) {
		return true
	}
	if m.isPreemptionFutile(t) {
		return false
	}
	best, victims := m.cheapestPreemption(t)
	if best == nil {
		return false
	}
	m.reserve(t, best, m.options.StopTime+reservationSlack, false)
	for _, a := range victims {
		m.requestStop(a, stopPreempted, "preempted by a more urgent task: "+t.key().String())
	}
	return true
}

// reserve reserves room for a task on a worker for the duration d.
func (m *Machine) reserve(t *task, w *worker, d time.Duration, forTrial bool) {
	t.reservedOn = w
	w.reserved = append(w.reserved, reservation{
		task: t, size: t.step.spec.Committed(), until: m.now.Add(d), trial: forTrial,
	})
	if c := m.roomClass(t.step); c != nil {
		c.used = c.used.Add(t.step.spec.Committed())
	}
}

// cheapestPreemption returns the worker on which making room for a task loses the
// least work, and the attempts to stop there. The worker is nil if there is none.
func (m *Machine) cheapestPreemption(t *task) (*worker, []*attempt) {
	m.pass.Spend(m.workers.Len())
	var best *worker
	var victims []*attempt
	lost, anywhere := 0.0, false
	for _, w := range m.workers.All() {
		if !w.fitsAfterPreemption(t) || !m.passes(fitFilters, t, w) {
			continue
		}
		list, cost, ok := m.preemptionVictims(t, w)
		if !ok {
			continue
		}
		anywhere = true
		if filterSpread(m, t, w) && (best == nil || cost < lost) {
			best, victims, lost = w, list, cost
		}
	}
	if !anywhere {
		m.recordFutilePreemption(t)
	}
	return best, victims
}

// fitsAfterPreemption reports whether the task would fit if all reclaimable room on
// the worker were freed. It is a cheap check that skips workers filled by
// long-running tasks.
func (w *worker) fitsAfterPreemption(t *task) bool {
	return t.step.spec.Committed().Fits(w.roomFor(t).Add(w.reclaimable))
}

// preemptionVictims returns the attempts on w to stop so that the task fits, those
// that lose least first, and the lost work in seconds. It returns false if stopping
// all of them would not suffice.
func (m *Machine) preemptionVictims(t *task, w *worker) ([]*attempt, float64, bool) {
	need := t.step.spec.Committed()
	room := w.roomFor(t)
	var victims []*attempt
	cost := 0.0
	for _, a := range w.attempts.All() {
		if a.phase == phaseStopping {
			room = room.Add(a.size)
		}
	}
	if need.Fits(room) {
		return nil, 0, true
	}
	for _, a := range m.preemptibleAttempts(t, w) {
		victims = append(victims, a)
		room = room.Add(a.size)
		cost += m.lostWork(a)
		if need.Fits(room) {
			return victims, cost, true
		}
	}
	return nil, 0, false
}

// preemptibleAttempts returns the attempts on w that the task may preempt, those
// that lose least first.
func (m *Machine) preemptibleAttempts(t *task, w *worker) []*attempt {
	var list []*attempt
	impatient := m.hasWaitedLong(t.step) && !m.isAboveShare(t)
	for _, a := range w.attempts.All() {
		if a.phase != phaseRunning || a.task == nil || a.longRunning || a.step().spec.Gang {
			continue
		}
		lower := m.queue(a.step().job()).Priority > m.queue(t.step.job()).Priority
		if lower || t.step.spec.LongRunning && (a.bestEffortCPU > 0 || impatient) {
			list = append(list, a)
		}
	}
	slices.SortStableFunc(list, func(a, b *attempt) int { return cmp.Compare(m.lostWork(a), m.lostWork(b)) })
	return list
}

// longRunningMaxWait is how long a long-running task waits for room before it
// preempts short work of its own priority. Short work comes and goes, and on a
// crowded cluster always fills the gaps that a large task would need combined.
const longRunningMaxWait = time.Second

// lostWork estimates the work, in seconds, that is lost by stopping an attempt.
func (m *Machine) lostWork(a *attempt) float64 {
	if a.step().spec.Checkpointing {
		return checkpointedLoss
	}
	return m.now.Sub(a.startedAt).Seconds() + checkpointedLoss
}

// checkpointedLoss is the work, in seconds, that is lost by stopping any attempt,
// even one that resumes from a checkpoint: restoring it and waiting for another
// worker.
const checkpointedLoss = 0.4
