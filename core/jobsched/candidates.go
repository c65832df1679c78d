package jobsched

import "container/heap"

// candidates are the feasible workers for interchangeable tasks of a step, ordered
// by score. A start changes the score of its own worker only, so that each further
// task costs the check of one worker instead of all. Without this a leader with a
// thousand workers cannot keep up with the requested starts (BenchmarkPlacement).
type candidates struct {
	m *Machine
	// task represents all interchangeable tasks.
	task *task
	rows candidateHeap
}

// candidate is a worker with its score.
type candidate struct {
	worker *worker
	score  float64
}

// candidateHeap implements heap.Interface with the highest score at the top; of
// equal scores, the lowest worker id.
type candidateHeap []candidate

func (h candidateHeap) Len() int { return len(h) }

func (h candidateHeap) Less(i, j int) bool {
	if h[i].score != h[j].score {
		return h[i].score > h[j].score
	}
	return h[i].worker.id.Compare(h[j].worker.id) < 0
}

func (h candidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface. It is unused: workers are never added.
func (h *candidateHeap) Push(any) {}

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	last := len(*h) - 1
	row := (*h)[last]
	*h = (*h)[:last]
	return row
}

// newCandidates checks and scores all workers for the task.
func (m *Machine) newCandidates(t *task) *candidates {
	m.pass.Spend(m.workers.Len())
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

// started updates the candidates after a task was started on the best worker.
func (c *candidates) started() {
	top := &c.rows[0]
	if !c.m.isFeasible(c.task, top.worker) {
		heap.Pop(&c.rows)
		return
	}
	top.score = c.m.score(c.task, top.worker)
	heap.Fix(&c.rows, 0)
}

// isInterchangeable reports whether the same workers are feasible for the task as
// for any other task of its step, with the same scores, whatever happens to the
// others. That does not hold for a task that has failed on a worker, is suspect or
// has room reserved, nor if the step wants a single rack, where each start changes
// the scores of other workers, or may overcommit, which only its first task may.
func (m *Machine) isInterchangeable(t *task) bool {
	return t.failedOn == nil && !t.isSuspect() && !t.step.spec.SameRack && !m.isReserved(t) && !m.mayOvercommit(t.step)
}
