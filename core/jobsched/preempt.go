package jobsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// reservation keeps room on a worker for a task while others are stopped to
// make it. Without it the room would go to whatever is placed next, and the
// task would wait as long as smaller ones keep coming.
type reservation struct {
	task  *task
	size  model.Resources
	until time.Time
	// trial is set for a task that is about to be tried there.
	trial bool
}

// reservationSlack is how long a reservation outlasts the time of a stop: the
// end of a stopped attempt is seen with the next report.
const reservationSlack = 1500 * time.Millisecond

// roomFor returns what is neither committed nor reserved for other tasks.
func (w *worker) roomFor(t *task) model.Resources {
	room := w.room()
	for _, r := range w.reserved {
		if r.task != t {
			room = room.Sub(r.size)
		}
	}
	return room
}

// dropReservations ends the reservations that are over, or of a task that has started, is
// not to be tried there any more, or whose job is over. A round of placement relies
// on it that room comes free between two of them only.
func (w *worker) dropReservations(now time.Time) {
	if len(w.reserved) == 0 {
		return
	}
	w.reserved = slices.DeleteFunc(w.reserved, func(r reservation) bool {
		elsewhere := r.trial && r.task.trial.worker != w.id
		return !now.Before(r.until) || elsewhere || !r.task.idle() || r.task.step.job().state.Final()
	})
}

// startReserved starts the tasks for which room was made on the worker as soon
// as it is there. Left to their step's turn they might come too late: it ends
// with the first of its tasks that fits nowhere.
func (m *Machine) startReserved(w *worker) {
	for _, r := range slices.Clone(w.reserved) {
		t := r.task
		if t.idle() && t.step.ready() && !m.startsHeldBack(t.step, m.now) && m.isFeasible(t, w) && m.ensureRestartStored(t) && m.mayStartAfterCrashes(t) && m.ensureTrialStored(t, w) {
			m.startAttempt(t, w, t.last+1)
			// Its reservation would count beside its attempt for those that follow.
			w.dropReservations(m.now)
		}
	}
}

// isReserved reports whether room is being made for the task already.
func (m *Machine) isReserved(t *task) bool {
	w := t.reservedOn
	if w == nil || m.workers.Get(w.id) != w {
		return false
	}
	return slices.ContainsFunc(w.reserved, func(r reservation) bool { return r.task == t })
}

// hasWaitedLong reports whether the step's long-running tasks have waited too long
// for room to be considerate.
func (m *Machine) hasWaitedLong(s *step) bool {
	return !s.waitingSince.IsZero() && m.now.Sub(s.waitingSince) >= longRunningMaxWait
}

// preempt makes room for a task that fits nowhere by stopping what is less
// urgent, on the worker where that loses least. It returns false when no worker
// has enough to stop.
func (m *Machine) preempt(t *task) bool {
	if t.step.spec.BestEffort || t.step.spec.Gang {
		return false
	}
	if m.isReserved(t) {
		return true
	}
	if m.isPreemptionFutile(t.step) {
		return false
	}
	best, victims := m.cheapestPreemption(t)
	if best == nil {
		return false
	}
	m.reserve(t, best, m.options.StopTime+reservationSlack, false)
	for _, a := range victims {
		m.requestStop(a, "more urgent work needs its room: "+t.key().String())
	}
	return true
}

// reserve keeps room for a task on a worker.
func (m *Machine) reserve(t *task, w *worker, d time.Duration, forTrial bool) {
	t.reservedOn = w
	w.reserved = append(w.reserved, reservation{
		task: t, size: t.step.spec.Committed(), until: m.now.Add(d), trial: forTrial,
	})
}

// cheapestPreemption returns the worker on which room for a task loses least,
// and what is to be stopped there; no worker when there is none.
func (m *Machine) cheapestPreemption(t *task) (*worker, []*attempt) {
	m.pass.spend(m.workers.Len())
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
		m.recordFutilePreemption(t.step)
	}
	return best, victims
}

// fitsAfterPreemption reports whether the task would fit if everything on the worker that
// may yield did. It spares the search on workers that long-running tasks fill.
func (w *worker) fitsAfterPreemption(t *task) bool {
	return t.step.spec.Committed().Fits(w.roomFor(t).Add(w.reclaimable))
}

// preemptionVictims returns attempts on w that leave enough room for the task when they
// are stopped, those first that lose least, and the work lost in seconds.
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

// preemptibleAttempts returns the attempts on w that the task may displace, those first
// whose stop loses least.
func (m *Machine) preemptibleAttempts(t *task, w *worker) []*attempt {
	var list []*attempt
	impatient := m.hasWaitedLong(t.step)
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
// displaces short work of its own priority. Such work comes and goes, and on a
// crowded cluster always fills the gaps that a large task would need joined.
const longRunningMaxWait = time.Second

// lostWork estimates, in seconds, what the stop of an attempt loses.
func (m *Machine) lostWork(a *attempt) float64 {
	if a.step().spec.Checkpointing {
		return checkpointedLoss
	}
	return m.now.Sub(a.startedAt).Seconds() + checkpointedLoss
}

// checkpointedLoss is what the stop of an attempt loses that resumes from a
// checkpoint: the restoring, and the wait for another worker.
const checkpointedLoss = 0.4
