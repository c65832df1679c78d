package placement

// HistoryScore steers a task by what happened to it. A task that was evicted
// does not go back to the worker it was evicted from, where the same cause
// would evict it again, and the more often it was evicted the more it prefers
// lightly loaded workers. A task that failed keeps away from the racks of its
// failures when FailedFilter was given up.
type HistoryScore struct {
	W float64
}

// Name implements Score.
func (HistoryScore) Name() string { return "history" }

// Weight implements Score.
func (c HistoryScore) Weight() float64 { return c.W }

// fullAvoidanceEvictions is how many evictions make a task avoid load altogether.
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
	fear := min(1, float64(r.Evictions)/fullAvoidanceEvictions)
	return 1 - fear*min(1, w.Load)
}
