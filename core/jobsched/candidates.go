package jobsched

import "container/heap"

// candidates are the workers that alike tasks of a step may go to, the best
// first. A start changes what its own worker is worth and no other's, so that each
// further task costs a look at one worker and not at all of them: with a thousand
// workers, the leader could not start what is asked of it otherwise
// (BenchmarkPlacement).
type candidates struct {
	m *Machine
	// task stands for all of them.
	task *task
	rows candidateHeap
}

// candidate is a worker with its score.
type candidate struct {
	worker *worker
	score  float64
}

// candidateHeap is a heap.Interface with the highest score, and of these the
// lowest id, at the top.
type candidateHeap []candidate

func (h candidateHeap) Len() int { return len(h) }

func (h candidateHeap) Less(i, j int) bool {
	if h[i].score != h[j].score {
		return h[i].score > h[j].score
	}
	return h[i].worker.id.Compare(h[j].worker.id) < 0
}

func (h candidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface. Workers are never added.
func (h *candidateHeap) Push(any) {}

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	last := len(*h) - 1
	row := (*h)[last]
	*h = (*h)[:last]
	return row
}

// newCandidates looks at all workers.
func (m *Machine) newCandidates(t *task) *candidates {
	m.pass.spend(m.workers.Len())
	c := &candidates{m: m, task: t}
	for _, w := range m.workers.All() {
		if m.isFeasible(t, w) {
			c.rows = append(c.rows, candidate{w, m.score(t, w)})
		}
	}
	heap.Init(&c.rows)
	return c
}

// best returns the best worker, or nil if there is none.
func (c *candidates) best() *worker {
	if len(c.rows) == 0 {
		return nil
	}
	return c.rows[0].worker
}

// started takes in that a task was started on the best worker.
func (c *candidates) started() {
	top := &c.rows[0]
	if !c.m.isFeasible(c.task, top.worker) {
		heap.Pop(&c.rows)
		return
	}
	top.score = c.m.score(c.task, top.worker)
	heap.Fix(&c.rows, 0)
}

// isInterchangeable reports whether the task may go where any other task of its step may, and
// is worth as much there, whatever becomes of the others: one that has failed
// somewhere, or has room reserved, may not, and where tasks want one rack each
// start changes what its neighbours are worth.
func (m *Machine) isInterchangeable(t *task) bool {
	return t.failedOn == nil && !t.isSuspect() && !t.step.spec.SameRack && !m.isReserved(t)
}
