package placement

import "github.com/guavarill/guavarill/core/model"

// The names of the filters by a worker's state.
const (
	QuarantineFilterName  = "quarantined"
	LeavingFilterName     = "leaving"
	UnreachableFilterName = "unreachable"
)

// QuarantineFilter rejects quarantined workers.
type QuarantineFilter struct{}

// Name implements Filter.
func (QuarantineFilter) Name() string { return QuarantineFilterName }

// Admit implements Filter.
func (QuarantineFilter) Admit(_ *Snapshot, _ *Request, w *Worker) bool { return !w.Quarantined }

// LeavingFilter rejects workers whose VM is to be taken away, by the
// platform's list or the worker's own word.
type LeavingFilter struct{}

// Name implements Filter.
func (LeavingFilter) Name() string { return LeavingFilterName }

// Admit implements Filter.
func (LeavingFilter) Admit(_ *Snapshot, _ *Request, w *Worker) bool {
	return !w.Leaving && w.VM.State != model.VMLeaving
}

// UnreachableFilter rejects workers that do not answer. A start sent to one
// would hold its room until the lease bound has passed.
type UnreachableFilter struct{}

// Name implements Filter.
func (UnreachableFilter) Name() string { return UnreachableFilterName }

// Admit implements Filter.
func (UnreachableFilter) Admit(_ *Snapshot, _ *Request, w *Worker) bool { return !w.Unreachable }
