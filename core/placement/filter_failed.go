package placement

// FailedFilterName is the name of FailedFilter.
const FailedFilterName = "failed there before"

// FailedFilter rejects workers on which the task failed before. It is soft
// because another attempt on the same worker is better than none when no other
// worker is left. Package quarantine limits the number of attempts.
type FailedFilter struct{}

// Name implements Filter.
func (FailedFilter) Name() string { return FailedFilterName }

// Soft implements SoftFilter.
func (FailedFilter) Soft() {}

// Admit implements Filter.
func (FailedFilter) Admit(_ *Snapshot, r *Request, w *Worker) bool {
	return !r.failedOn(w.VM.ID)
}
