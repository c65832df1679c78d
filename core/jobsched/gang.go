package jobsched

import (
	"cmp"
	"slices"
	"strings"

	"github.com/guavarill/guavarill/core/model"
)

// startGang starts all tasks of a gang together under one attempt number, if all of
// them fit and no attempt of the gang is left. None is started alone, because the
// members wait for each other only a short time.
func (m *Machine) startGang(s *step) {
	number := 0
	for _, t := range s.tasks {
		if len(t.attempts) > 0 {
			return
		}
		number = max(number, t.last)
	}
	if m.isHeldByShare(s.tasks[0]) {
		m.saturated = true
		m.noteWaiting(s)
		return
	}
	if !m.ensureRestartsStored(s) || !m.mayStartGangAfterCrashes(s) {
		return
	}
	placed, ok := m.placeGang(s)
	if !ok {
		for _, t := range s.tasks {
			m.dropTrialOnWorker(t)
		}
		m.saturated = true
		m.noteWaiting(s)
		m.askAdvice(s)
		return
	}
	if !m.ensureGangTrialsStored(s, placed) {
		return
	}
	for i, t := range s.tasks {
		t.last = number
		m.startAttempt(t, placed[i], number+1)
	}
	m.pending.Delete(s)
	m.noteFoundWorkers(s)
}

// placeGang finds a worker for each member, on a single rack if the step asks for
// that and it is possible.
func (m *Machine) placeGang(s *step) ([]*worker, bool) {
	if m.isGangUnplaceable(s) {
		return nil, false
	}
	if s.spec.SameRack {
		m.pass.Spend(m.workers.Len())
		for _, rack := range m.racks() {
			if placed, ok := m.placeGangOn(s, rack.workers); ok {
				return placed, true
			}
		}
	}
	placed, ok := m.placeGangOn(s, slices.Collect(m.everyWorker()))
	if !ok {
		m.recordUnplaceableGang(s)
	}
	return placed, ok
}

// placeGangOn places a gang on the given workers. Provisional attempts take up the
// room of each placed member and are removed at the end. It first counts whether
// there is room for all members, because the provisional placement checks all
// workers for each member, which delays all orders for a gang of hundreds.
func (m *Machine) placeGangOn(s *step, workers []*worker) ([]*worker, bool) {
	if !m.hasRoomForGang(s, workers) {
		return nil, false
	}
	var placed []*worker
	var trials []*attempt
	defer func() {
		for _, a := range trials {
			a.worker.remove(a)
		}
	}()
	for _, t := range s.tasks {
		m.pass.Spend(len(workers))
		w := m.bestOf(t, slices.Values(workers))
		if w == nil {
			return nil, false
		}
		trial := &attempt{key: attemptKey{task: t.key()}, worker: w, task: t, size: s.spec.Committed()}
		if s.spec.BestEffort {
			trial.bestEffortCPU = s.spec.Size.MilliCPU
		}
		w.add(trial)
		trials = append(trials, trial)
		placed = append(placed, w)
	}
	return placed, true
}

// hasRoomForGang reports whether the workers together have room for all members of
// a gang.
func (m *Machine) hasRoomForGang(s *step, workers []*worker) bool {
	m.pass.Spend(len(workers))
	t := s.tasks[0]
	left := len(s.tasks)
	for _, w := range workers {
		if m.isFeasible(t, w) {
			left -= min(m.countFitting(t, w), left)
		}
		if left <= 0 {
			return true
		}
	}
	return false
}

// countFitting returns how many tasks like t the worker has room for.
func (m *Machine) countFitting(t *task, w *worker) int {
	spec := t.step.spec
	n := spec.Committed().FitCount(w.roomFor(t))
	if spec.BestEffort && !m.mayOvercommit(t.step) {
		n = min(n, model.Resources{MilliCPU: spec.Size.MilliCPU}.FitCount(model.Resources{MilliCPU: w.freeCPU()}))
	}
	if spec.MaxPerWorker > 0 {
		n = min(n, spec.MaxPerWorker)
	}
	return n
}

// rack is the workers of one rack and their uncommitted processors, in thousandths
// of a core.
type rack struct {
	name    model.Rack
	workers []*worker
	freeCPU int64
}

// racks returns the racks of the workers, the one with the most free processors
// first.
func (m *Machine) racks() []*rack {
	byName := make(map[model.Rack]*rack)
	var racks []*rack
	for _, w := range m.workers.All() {
		r := byName[w.entry.Rack]
		if r == nil {
			r = &rack{name: w.entry.Rack}
			byName[r.name] = r
			racks = append(racks, r)
		}
		r.workers = append(r.workers, w)
		r.freeCPU += w.room().MilliCPU
	}
	slices.SortFunc(racks, func(a, b *rack) int {
		return cmp.Or(cmp.Compare(b.freeCPU, a.freeCPU), strings.Compare(string(a.name), string(b.name)))
	})
	return racks
}
