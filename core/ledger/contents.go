package ledger

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/google/btree"

	"github.com/guavarill/guavarill/core/model"
)

// treeDegree is the degree of the B-trees of the ordered indexes.
const treeDegree = 16

// Contents is the tasks and quarantines of a ledger. Its users have a live read
// view that is valid until the next Step. Records are replaced and never modified
// in place, so two Contents can share them.
type Contents struct {
	sequence    uint64
	records     map[model.TaskKey]*Task
	ordered     *btree.BTreeG[*Task]
	pending     *btree.BTreeG[*Task]
	workers     map[model.WorkerID]*workerTasks
	quarantines map[model.WorkerID]Quarantine
}

// workerTasks are the tasks whose size is committed on one worker, in key order,
// and the sum of their sizes.
type workerTasks struct {
	tasks     []*Task
	committed model.Resources
}

func newContents() *Contents {
	return &Contents{
		records:     make(map[model.TaskKey]*Task),
		ordered:     btree.NewG(treeDegree, lessByKey),
		pending:     btree.NewG(treeDegree, lessByKey),
		workers:     make(map[model.WorkerID]*workerTasks),
		quarantines: make(map[model.WorkerID]Quarantine),
	}
}

func lessByKey(a, b *Task) bool { return a.Key.Less(b.Key) }

// clone returns an independent copy that shares the records.
func (c *Contents) clone() *Contents {
	workers := make(map[model.WorkerID]*workerTasks, len(c.workers))
	for id, w := range c.workers {
		workers[id] = &workerTasks{tasks: slices.Clone(w.tasks), committed: w.committed}
	}
	return &Contents{
		sequence:    c.sequence,
		records:     maps.Clone(c.records),
		ordered:     c.ordered.Clone(),
		pending:     c.pending.Clone(),
		workers:     workers,
		quarantines: maps.Clone(c.quarantines),
	}
}

// Task returns the record of a task, or false if there is none.
func (c *Contents) Task(key model.TaskKey) (Task, bool) {
	t, ok := c.records[key]
	if !ok {
		return Task{}, false
	}
	return *t, true
}

// Tasks yields all records in key order.
func (c *Contents) Tasks() iter.Seq[Task] {
	return func(yield func(Task) bool) {
		c.ordered.Ascend(func(t *Task) bool { return yield(*t) })
	}
}

// OnWorker returns the tasks whose size is committed on a worker, in key order.
func (c *Contents) OnWorker(id model.WorkerID) []Task {
	w, ok := c.workers[id]
	if !ok {
		return nil
	}
	tasks := make([]Task, len(w.tasks))
	for i, t := range w.tasks {
		tasks[i] = *t
	}
	return tasks
}

// Workers returns the workers on which tasks are committed, sorted by ID.
func (c *Contents) Workers() []model.WorkerID {
	return slices.Sorted(maps.Keys(c.workers))
}

// Committed returns the total size of the tasks committed on a worker.
func (c *Contents) Committed(id model.WorkerID) model.Resources {
	w, ok := c.workers[id]
	if !ok {
		return model.Resources{}
	}
	return w.committed
}

// Pending returns the pending tasks in key order.
func (c *Contents) Pending() []Task {
	tasks := make([]Task, 0, c.pending.Len())
	c.pending.Ascend(func(t *Task) bool {
		tasks = append(tasks, *t)
		return true
	})
	return tasks
}

// Quarantine returns the quarantine of a worker, or false if there is none. An
// expired quarantine is returned until it is lifted.
func (c *Contents) Quarantine(id model.WorkerID) (Quarantine, bool) {
	q, ok := c.quarantines[id]
	return q, ok
}

// Quarantines returns all quarantines, sorted by worker.
func (c *Contents) Quarantines() []Quarantine {
	all := slices.Collect(maps.Values(c.quarantines))
	slices.SortFunc(all, func(a, b Quarantine) int { return cmp.Compare(a.Worker, b.Worker) })
	return all
}

// Sequence returns the sequence number of the last commit in the contents.
func (c *Contents) Sequence() uint64 { return c.sequence }

// Len returns the number of task records.
func (c *Contents) Len() int { return len(c.records) }

func (c *Contents) put(t *Task) {
	c.unindex(c.records[t.Key])
	c.records[t.Key] = t
	c.ordered.ReplaceOrInsert(t)
	c.index(t)
}

func (c *Contents) remove(key model.TaskKey) {
	t, ok := c.records[key]
	if !ok {
		return
	}
	c.unindex(t)
	c.ordered.Delete(t)
	delete(c.records, key)
}

func (c *Contents) setQuarantine(q Quarantine) {
	if q.Lifted() {
		delete(c.quarantines, q.Worker)
		return
	}
	c.quarantines[q.Worker] = q
}

func (c *Contents) index(t *Task) {
	if t.State == Pending {
		c.pending.ReplaceOrInsert(t)
		return
	}
	if !t.State.HoldsRoom() {
		return
	}
	w, ok := c.workers[t.Worker]
	if !ok {
		w = &workerTasks{}
		c.workers[t.Worker] = w
	}
	i, _ := w.find(t.Key)
	w.tasks = slices.Insert(w.tasks, i, t)
	w.committed = w.committed.Add(t.Size)
}

func (c *Contents) unindex(t *Task) {
	if t == nil {
		return
	}
	if t.State == Pending {
		c.pending.Delete(t)
		return
	}
	if !t.State.HoldsRoom() {
		return
	}
	w := c.workers[t.Worker]
	i, _ := w.find(t.Key)
	w.tasks = slices.Delete(w.tasks, i, i+1)
	w.committed = w.committed.Sub(t.Size)
	if len(w.tasks) == 0 {
		delete(c.workers, t.Worker)
	}
}

func (w *workerTasks) find(key model.TaskKey) (int, bool) {
	return slices.BinarySearchFunc(w.tasks, key, compareToKey)
}

func compareToKey(t *Task, key model.TaskKey) int {
	switch {
	case t.Key.Less(key):
		return -1
	case key.Less(t.Key):
		return 1
	}
	return 0
}
