package jobsched

import (
	"slices"

	"github.com/guavarill/guavarill/core/minimalsizes"
	"github.com/guavarill/guavarill/core/model"
)

// In a full cluster hundreds of steps wait. Most of them need as much as a step
// that could not be placed in the same round, or more, and need not check every
// worker again: within a round free room only shrinks, so that what fits nowhere
// once fits nowhere until the end of the round.
//
// Without this, a round with some hundred workers and waiting steps takes a large
// fraction of a second; this shows as orders, ends and cancellations that are
// delayed.

// placementDemand is what determines, besides its size, where a task fits.
type placementDemand struct {
	service, label string
	bestEffort     bool
	// image is set for best-effort work only, which is kept away from tasks that it
	// would disturb, unless it is starving.
	image                 string
	starving, overcommits bool
	// maxSlowness is the slowness up to which workers are used; infinite if none is
	// too slow.
	maxSlowness float64
}

// preemptionDemand is what determines, besides its size, whether room can be made
// for a task.
type preemptionDemand struct {
	service, label          string
	priority                int
	longRunning, waitedLong bool
	maxSlowness             float64
}

// unplaceable remembers, by demand, the sizes that could not be placed in this
// round.
type unplaceable struct {
	tasks       minimalsizes.Set[placementDemand]
	gangs       map[placementDemand][]gangSize
	preemptions minimalsizes.Set[preemptionDemand]
}

// gangSize is the size of a gang's members and their number.
type gangSize struct {
	member model.Resources
	count  int
}

func (u *unplaceable) reset() {
	u.tasks = make(minimalsizes.Set[placementDemand])
	u.gangs = make(map[placementDemand][]gangSize)
	u.preemptions = make(minimalsizes.Set[preemptionDemand])
}

// isUnrestricted reports whether only demand and size restrict where the step's
// tasks fit. If a step with a maximum number of tasks per worker, or with tickets
// for some workers only, cannot be placed, another step with the same demand still
// may.
func (m *Machine) isUnrestricted(s *step) bool {
	return s.spec.MaxPerWorker == 0 && !m.queue(s.job()).Advised
}

func (m *Machine) placementDemand(s *step) placementDemand {
	d := placementDemand{service: m.queue(s.job()).Service, label: s.spec.Label, bestEffort: s.spec.BestEffort, maxSlowness: m.maxSlownessFor(s)}
	if d.bestEffort {
		d.image, d.starving, d.overcommits = s.spec.Image, m.starving(s), m.mayOvercommit(s)
	}
	return d
}

func (m *Machine) preemptionDemand(t *task) preemptionDemand {
	s := t.step
	q := m.queue(s.job())
	return preemptionDemand{
		service: q.Service, label: s.spec.Label, priority: q.Priority,
		longRunning: s.spec.LongRunning, waitedLong: m.hasWaitedLong(s) && !m.isAboveShare(t), maxSlowness: m.maxSlownessFor(s),
	}
}

// isUnplaceable reports whether it is known that no worker has room for a task of
// the step.
func (m *Machine) isUnplaceable(s *step) bool {
	return m.unplaceable.tasks.AnyFitsIn(m.placementDemand(s), s.spec.Size)
}

// recordUnplaceable records that a task was not placed, unless only its own
// restrictions kept it from a worker with enough room.
func (m *Machine) recordUnplaceable(t *task) {
	s := t.step
	if m.isUnrestricted(s) && !t.needsIsolation() || !m.roomAnywhere(t) {
		m.unplaceable.tasks.Add(m.placementDemand(s), s.spec.Size)
	}
}

// isGangUnplaceable reports whether a gang with at most as many members, none of
// them larger, could not be placed. Members are alike, so that the order of their
// placement does not matter.
func (m *Machine) isGangUnplaceable(s *step) bool {
	return slices.ContainsFunc(m.unplaceable.gangs[m.placementDemand(s)], func(known gangSize) bool {
		return known.count <= len(s.tasks) && known.member.Fits(s.spec.Size)
	})
}

// recordUnplaceableGang records that a gang could not be placed, unless its own
// restrictions may be the reason.
func (m *Machine) recordUnplaceableGang(s *step) {
	if !m.isUnrestricted(s) {
		return
	}
	d := m.placementDemand(s)
	m.unplaceable.gangs[d] = append(m.unplaceable.gangs[d], gangSize{member: s.spec.Size, count: len(s.tasks)})
}

// roomAnywhere reports whether any worker has room for a task, whether or not the
// task is allowed there.
func (m *Machine) roomAnywhere(t *task) bool {
	m.pass.Spend(m.workers.Len())
	for _, w := range m.workers.All() {
		if filterRoom(m, t, w) {
			return true
		}
	}
	return false
}

// isPreemptionFutile reports whether it is known that preemption cannot make room
// for the task.
func (m *Machine) isPreemptionFutile(t *task) bool {
	return m.unplaceable.preemptions.AnyFitsIn(m.preemptionDemand(t), t.step.spec.Committed())
}

// recordFutilePreemption records that preemption cannot make room for the task,
// whatever its restrictions.
func (m *Machine) recordFutilePreemption(t *task) {
	if s := t.step; !m.queue(s.job()).Advised {
		m.unplaceable.preemptions.Add(m.preemptionDemand(t), s.spec.Committed())
	}
}
