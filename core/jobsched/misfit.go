package jobsched

import (
	"slices"

	"github.com/guavarill/guavarill/core/model"
)

// A full cluster leaves hundreds of steps waiting. Most of them ask for the same
// as one that has found no place in the same round, or for more, and need not
// look at every worker again. Within a round room only shrinks, so that what
// fits nowhere once fits nowhere until its end.
//
// Without this a round takes a good part of a second with some hundred workers and
// waiting steps; one notices by orders, ends and cancellations that wait for it.

// placementDemand is what decides, besides its size, where a task fits.
type placementDemand struct {
	service, label string
	bestEffort     bool
	// image matters to best-effort work only, which is kept away from tasks that
	// it would disturb unless it is starving.
	image    string
	starving bool
}

// preemptionDemand is what decides, besides its size, for whom room can be made.
type preemptionDemand struct {
	service, label          string
	priority                int
	longRunning, waitedLong bool
}

// unplaceable remembers what found no place in the round, by what it asked for.
type unplaceable struct {
	tasks       map[placementDemand][]model.Resources
	gangs       map[placementDemand][]gangSize
	preemptions map[preemptionDemand][]model.Resources
}

// gangSize is the size of a gang's members, and their number.
type gangSize struct {
	member model.Resources
	count  int
}

func (f *unplaceable) reset() {
	f.tasks = make(map[placementDemand][]model.Resources)
	f.gangs = make(map[placementDemand][]gangSize)
	f.preemptions = make(map[preemptionDemand][]model.Resources)
}

// isUnrestricted reports whether nothing but its demand and its size restricts where the
// step's tasks fit. What a step with a bound on its tasks on one worker, or with
// tickets for some, fails to find may be there for another.
func (m *Machine) isUnrestricted(s *step) bool {
	return s.spec.MaxPerWorker == 0 && !m.queue(s.job()).Advised
}

func (m *Machine) placementDemand(s *step) placementDemand {
	d := placementDemand{service: m.queue(s.job()).Service, label: s.spec.Label, bestEffort: s.spec.BestEffort}
	if d.bestEffort {
		d.image, d.starving = s.spec.Image, m.starving(s)
	}
	return d
}

func (m *Machine) preemptionDemand(s *step) preemptionDemand {
	q := m.queue(s.job())
	return preemptionDemand{
		service: q.Service, label: s.spec.Label, priority: q.Priority,
		longRunning: s.spec.LongRunning, waitedLong: m.hasWaitedLong(s),
	}
}

// isUnplaceable reports whether it is known that no worker has room for a task of
// the step.
func (m *Machine) isUnplaceable(s *step) bool {
	return anyFitsIn(m.unplaceable.tasks[m.placementDemand(s)], s.spec.Size)
}

// recordUnplaceable remembers that a task was not placed, unless only its own bounds
// kept it from a worker that has room.
func (m *Machine) recordUnplaceable(t *task) {
	s := t.step
	if m.isUnrestricted(s) && !t.needsIsolation() || !m.roomAnywhere(t) {
		addMinimalSize(m.unplaceable.tasks, m.placementDemand(s), s.spec.Size)
	}
}

// isGangUnplaceable reports whether a gang of no more members, which were no
// larger, has found no place. Members are alike, so that it does not matter in
// which order they are placed.
func (m *Machine) isGangUnplaceable(s *step) bool {
	return slices.ContainsFunc(m.unplaceable.gangs[m.placementDemand(s)], func(known gangSize) bool {
		return known.count <= len(s.tasks) && known.member.Fits(s.spec.Size)
	})
}

// recordUnplaceableGang remembers that a gang found no place, unless it may be only for
// its own bounds.
func (m *Machine) recordUnplaceableGang(s *step) {
	if !m.isUnrestricted(s) {
		return
	}
	d := m.placementDemand(s)
	m.unplaceable.gangs[d] = append(m.unplaceable.gangs[d], gangSize{member: s.spec.Size, count: len(s.tasks)})
}

// roomAnywhere reports whether any worker has room for a task, be it allowed
// there or not.
func (m *Machine) roomAnywhere(t *task) bool {
	m.pass.spend(m.workers.Len())
	for _, w := range m.workers.All() {
		if filterRoom(m, t, w) {
			return true
		}
	}
	return false
}

// isPreemptionFutile reports whether it is known that no room can be made for a
// task of the step.
func (m *Machine) isPreemptionFutile(s *step) bool {
	return anyFitsIn(m.unplaceable.preemptions[m.preemptionDemand(s)], s.spec.Committed())
}

// recordFutilePreemption remembers that no room can be made for a task of the
// step, whatever its bounds.
func (m *Machine) recordFutilePreemption(s *step) {
	if !m.queue(s.job()).Advised {
		addMinimalSize(m.unplaceable.preemptions, m.preemptionDemand(s), s.spec.Committed())
	}
}

// anyFitsIn reports whether one of the sizes is no larger than size.
func anyFitsIn(sizes []model.Resources, size model.Resources) bool {
	return slices.ContainsFunc(sizes, func(known model.Resources) bool { return known.Fits(size) })
}

// addMinimalSize adds a size, and drops those that it makes needless.
func addMinimalSize[K comparable](sizes map[K][]model.Resources, key K, size model.Resources) {
	kept := slices.DeleteFunc(sizes[key], func(known model.Resources) bool { return size.Fits(known) })
	sizes[key] = append(kept, size)
}
