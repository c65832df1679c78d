package placement

// HistoryScore rates workers by the task's earlier attempts. A worker on which
// the task failed gets the lowest score, which matters when FailedFilter was
// dropped. So does the last worker of a task that was evicted, because the same
// cause would evict it there again. The more often a task was evicted, the more
// it prefers workers with a low load.
type HistoryScore struct {
	// W is the weight of the score.
	W float64
}

// Name implements Score.
func (HistoryScore) Name() string { return "history" }

// Weight implements Score.
func (c HistoryScore) Weight() float64 { return c.W }

// fullAvoidanceEvictions is the number of evictions from which on a fully
// loaded worker gets the lowest score.
const fullAvoidanceEvictions = 3

// Score implements Score.
func (HistoryScore) Score(_ *Snapshot, r *Request, w *Worker) float64 {
	if r.failedOn(w.VM.ID) {
		return 0
	}
	if r.Evictions == 0 {
		return 1
	}
	if r.LastWorker == w.VM.ID {
		return 0
	}
	avoidance := min(1, float64(r.Evictions)/fullAvoidanceEvictions)
	return 1 - avoidance*min(1, w.Load)
}
