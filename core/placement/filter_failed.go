package placement

// FailedFilterName names the filter by earlier failures.
const FailedFilterName = "failed there before"

// FailedFilter rejects workers on which the task failed before. It is soft:
// when no other worker is left, another try there is better than none, and
// package quarantine bounds how many there are.
type FailedFilter struct{}

// Name implements Filter.
func (FailedFilter) Name() string { return FailedFilterName }

// Soft implements SoftFilter.
func (FailedFilter) Soft() {}

// Admit implements Filter.
func (FailedFilter) Admit(_ *Snapshot, r *Request, w *Worker) bool {
	return !r.failedOn(w.VM.ID)
}
