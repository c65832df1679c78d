package placement

import (
	"slices"

	"github.com/guavarill/guavarill/core/model"
)

// CautionStd is the number of standard deviations added to the mean when the
// slowdown by a batch task is predicted, so that an unknown neighbour counts as
// a noisy one.
const CautionStd = 1

// Snapshot holds the workers on which tasks may be placed, and indexes of them.
// It is not safe for concurrent use.
type Snapshot struct {
	workers  []*Worker
	bySlot   map[model.WorkerID]int
	eligible []int32
	grid     *grid
	position []int32
	shapes   shapes
	zones    *domains
	racks    *domains
	spread   map[string]*spreadCount
	// services holds the classes of the services placed so far, in the order
	// of their first appearance.
	services    []classID
	predictions *predictions
	rejected    rejectedSizes
}

// NewSnapshot returns a snapshot of the given workers. A nil predictor predicts
// no slowdowns.
func NewSnapshot(workers []Worker, predictor Predictor) *Snapshot {
	s := &Snapshot{
		bySlot:      make(map[model.WorkerID]int, len(workers)),
		grid:        new(grid),
		zones:       newDomains(),
		racks:       newDomains(),
		spread:      make(map[string]*spreadCount),
		predictions: newPredictions(predictor, CautionStd),
	}
	for _, w := range workers {
		s.Put(w)
	}
	return s
}

// Len returns the number of workers.
func (s *Snapshot) Len() int { return len(s.workers) }

// Worker returns a worker by its id. The caller must not modify it.
func (s *Snapshot) Worker(id model.WorkerID) (*Worker, bool) {
	slot, ok := s.bySlot[id]
	if !ok {
		return nil, false
	}
	return s.workers[slot], true
}

// Capacities returns the distinct capacities of the workers.
func (s *Snapshot) Capacities() []model.Resources { return s.shapes.capacities() }

// Put adds a worker or replaces its state.
func (s *Snapshot) Put(w Worker) {
	s.Remove(w.VM.ID)
	own := w
	own.Tasks = slices.Clone(w.Tasks)
	own.residents = nil
	own.zone = s.zones.id(string(w.VM.Zone))
	own.rack = s.racks.id(string(w.VM.Rack))
	own.slot = len(s.workers)
	s.workers = append(s.workers, &own)
	s.position = append(s.position, 0)
	s.bySlot[w.VM.ID] = own.slot
	s.shapes.add(w.VM.Capacity, 1)
	for i := range own.Tasks {
		s.countResident(&own, &own.Tasks[i], 1)
	}
	s.addEligible(&own)
	s.rejected.reset()
}

// Remove removes a worker and its tasks. An unknown id is ignored.
func (s *Snapshot) Remove(id model.WorkerID) {
	slot, ok := s.bySlot[id]
	if !ok {
		return
	}
	w := s.workers[slot]
	s.removeEligible(w)
	for i := range w.Tasks {
		s.countResident(w, &w.Tasks[i], -1)
	}
	s.shapes.add(w.VM.Capacity, -1)
	delete(s.bySlot, id)
	s.fillSlot(slot)
}

// fillSlot moves the last worker into a slot that became free.
func (s *Snapshot) fillSlot(slot int) {
	last := len(s.workers) - 1
	if slot != last {
		moved := s.workers[last]
		eligible := moved.eligibleAt >= 0
		if eligible {
			s.removeEligible(moved)
		}
		moved.slot = slot
		s.workers[slot] = moved
		s.bySlot[moved.VM.ID] = slot
		if eligible {
			s.addEligible(moved)
		}
	}
	s.workers[last] = nil
	s.workers = s.workers[:last]
	s.position = s.position[:last]
}

// SetLoad records a worker's measured load.
func (s *Snapshot) SetLoad(id model.WorkerID, load float64) {
	if w, ok := s.Worker(id); ok {
		w.Load = load
	}
}

// Assume commits the resources of a placed task on a worker. It returns false
// and changes nothing if the worker is unknown or has no room for the task.
func (s *Snapshot) Assume(r *Request, id model.WorkerID) bool {
	w, ok := s.Worker(id)
	if !ok || !r.Size.Fits(w.Free) {
		return false
	}
	w.Tasks = append(w.Tasks, Resident{
		Key:      r.Key,
		Class:    r.Class,
		Service:  r.Service,
		Priority: r.Priority,
		Size:     r.Size,
	})
	s.countResident(w, &w.Tasks[len(w.Tasks)-1], 1)
	s.adjustCommitted(w, r.Size)
	return true
}

// findTask returns the worker with the given id and the index of a task among
// its tasks. It returns false if the task is not on the worker.
func (s *Snapshot) findTask(key model.TaskKey, id model.WorkerID) (*Worker, int, bool) {
	w, ok := s.Worker(id)
	if !ok {
		return nil, 0, false
	}
	i := slices.IndexFunc(w.Tasks, func(t Resident) bool { return t.Key == key })
	return w, i, i >= 0
}

// Release frees the resources of a task that ended. It returns false if the
// task is not on the worker.
func (s *Snapshot) Release(key model.TaskKey, id model.WorkerID) bool {
	w, i, ok := s.findTask(key, id)
	if !ok {
		return false
	}
	task := w.Tasks[i]
	w.Tasks = slices.Delete(w.Tasks, i, i+1)
	s.countResident(w, &task, -1)
	s.adjustCommitted(w, model.Resources{}.Sub(task.Size))
	s.rejected.reset()
	return true
}

// Resize changes the committed size of a task. It returns false and changes
// nothing if the task is not on the worker or the worker has no room for the
// growth.
func (s *Snapshot) Resize(key model.TaskKey, id model.WorkerID, size model.Resources) bool {
	w, i, ok := s.findTask(key, id)
	if !ok {
		return false
	}
	growth := size.Sub(w.Tasks[i].Size)
	if !growth.Fits(w.Free) {
		return false
	}
	w.Tasks[i].Size = size
	s.adjustCommitted(w, growth)
	s.rejected.reset()
	return true
}

// adjustCommitted adds a size, which may be negative, to a worker's committed
// resources and moves the worker to its new cell.
func (s *Snapshot) adjustCommitted(w *Worker, size model.Resources) {
	w.Committed = w.Committed.Add(size)
	w.Free = w.Free.Sub(size)
	if w.eligibleAt < 0 || cellOf(w.Free) == w.cell {
		return
	}
	s.removeFromCell(w)
	s.addToCell(w)
}

// countResident adds n to all counts to which a resident contributes.
func (s *Snapshot) countResident(w *Worker, t *Resident, n int) {
	class := s.predictions.class(t.Class)
	w.countGroup(group{
		class:   class,
		profile: s.predictions.profile(t.Class, t.Key.Workload, t.Service),
		service: t.Service,
		count:   int32(n),
	})
	if !t.Service {
		return
	}
	if !slices.Contains(s.services, class) {
		s.services = append(s.services, class)
	}
	c, ok := s.spread[t.Key.Workload]
	if !ok {
		c = new(spreadCount)
		s.spread[t.Key.Workload] = c
	}
	c.add(w, n)
	if c.total == 0 {
		delete(s.spread, t.Key.Workload)
	}
}

func (s *Snapshot) addEligible(w *Worker) {
	w.eligibleAt = -1
	if !w.eligible() {
		return
	}
	w.eligibleAt = len(s.eligible)
	s.eligible = append(s.eligible, int32(w.slot))
	s.zones.count(w.zone, 1)
	s.racks.count(w.rack, 1)
	s.addToCell(w)
}

func (s *Snapshot) removeEligible(w *Worker) {
	if w.eligibleAt < 0 {
		return
	}
	s.removeFromCell(w)
	s.zones.count(w.zone, -1)
	s.racks.count(w.rack, -1)
	last := len(s.eligible) - 1
	moved := s.eligible[last]
	s.eligible[w.eligibleAt] = moved
	s.workers[moved].eligibleAt = w.eligibleAt
	s.eligible = s.eligible[:last]
	w.eligibleAt = -1
}

func (s *Snapshot) addToCell(w *Worker) {
	w.cell = cellOf(w.Free)
	s.position[w.slot] = int32(s.grid.add(w.cell, int32(w.slot)))
}

func (s *Snapshot) removeFromCell(w *Worker) {
	position := s.position[w.slot]
	if moved := s.grid.remove(w.cell, int(position)); moved >= 0 {
		s.position[moved] = position
	}
}
