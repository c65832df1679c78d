package jobsched

import (
	"slices"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/roomshares"
)

// isHeldByShare reports whether the task must not start, even where there is room for
// it: the share of its queue is used up, and the rest is kept for short work. It holds
// for long-running tasks that have never run.
func (m *Machine) isHeldByShare(t *task) bool {
	if !m.holdsNewTasks(t.step) || !t.neverRan() || m.isReserved(t) {
		return false
	}
	c := m.roomClass(t.step)
	if m.mayExceedShare(c, t.step) {
		c.exceeding, c.exceededAt = t.step, m.now
		return false
	}
	c.heldAt = m.now
	return true
}

// holdsNewTasks reports whether no task of the step that has never run may start,
// because the share of its queue is used up. While utilization is low, shares hold
// nothing.
func (m *Machine) holdsNewTasks(s *step) bool {
	if !s.spec.LongRunning {
		return false
	}
	c := m.roomClass(s)
	if c == nil || c.exceeding == s || c.fits(startSize(s)) {
		return false
	}
	return !m.shares.service(c.queue.Service).isMostlyFree()
}

// mayExceedShare reports whether the step has waited for so long that its tasks start
// although the share of its queue is used up, which may never change while others run
// on. After maxStartWait, one step of a queue does so in each allowance of its jobs: if
// all did, a queue would get its share and all the rest a little later.
func (m *Machine) mayExceedShare(c *roomClass, s *step) bool {
	waited := !s.waitingSince.IsZero() && m.now.Sub(s.waitingSince) >= maxStartWait
	return (waited || m.hasWaitedBefore(s.job())) && m.now.Sub(c.exceededAt) >= m.allowance(s.occurrence)
}

// neverRan reports whether no attempt of the task has run, as far as is stored. After a
// takeover, a task whose job is not stored as begun counts as one that has not, unless
// an attempt of the job is found to run.
func (t *task) neverRan() bool {
	j := t.step.job()
	return t.last == 0 || j.recovered && !j.begun && t.last == attemptGap
}

// startSize returns the room that is taken at once when a part of the step starts.
func startSize(s *step) model.Resources {
	size := s.spec.Committed()
	if !s.spec.Gang {
		return size
	}
	all := model.Resources{}
	for range s.tasks {
		all = all.Add(size)
	}
	return all
}

// fits reports whether the class keeps to its share if it takes size in addition.
func (c *roomClass) fits(size model.Resources) bool {
	return !c.entitlement.IsBinding() ||
		roomshares.DominantShare(c.used.Add(size), c.divided) <= c.entitlement.Share
}

// isMostlyFree reports whether utilization is so low that a job must not be without a
// running task for long.
func (r *serviceRoom) isMostlyFree() bool {
	return float64(r.listedUsed.MilliCPU) < listedUtilizationLimit*float64(r.listed.MilliCPU) ||
		float64(r.used.MilliCPU) < usableUtilizationLimit*float64(r.usable.MilliCPU)
}

// isAboveShare reports whether the task would take more than the share of its queue, so
// that it may not stop short work that is as urgent. Long-running tasks that ran before
// count as within the share.
func (m *Machine) isAboveShare(t *task) bool {
	c := m.roomClass(t.step)
	return c != nil && c.key.longRunning && t.neverRan() && !c.fits(startSize(t.step))
}

// filterShare tells why a step waits whose new tasks the share of its queue keeps from
// starting; isHeldByShare keeps them. It depends on the step alone.
func filterShare(m *Machine, t *task, _ *worker) bool {
	isNew := func(t *task) bool { return t.idle() && t.neverRan() }
	return !m.holdsNewTasks(t.step) || !slices.ContainsFunc(t.step.tasks, isNew)
}

// shareUsed returns which part of its share the step's class uses.
func (m *Machine) shareUsed(s *step) float64 {
	c := m.roomClass(s)
	if c == nil || c.entitlement.Share == 0 {
		return 0
	}
	return roomshares.DominantShare(c.used, c.divided) / c.entitlement.Share
}
