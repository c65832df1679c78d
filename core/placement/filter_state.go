package placement

import "github.com/guavarill/guavarill/core/model"

// The names of the filters on a worker's state.
const (
	QuarantineFilterName  = "quarantined"
	LeavingFilterName     = "leaving"
	UnreachableFilterName = "unreachable"
	CordonFilterName      = "zone cordoned"
)

// QuarantineFilter rejects quarantined workers.
type QuarantineFilter struct{}

// Name implements Filter.
func (QuarantineFilter) Name() string { return QuarantineFilterName }

// Admit implements Filter.
func (QuarantineFilter) Admit(_ *Snapshot, _ *Request, w *Worker) bool { return !w.Quarantined }

// LeavingFilter rejects workers whose VM is about to be removed, according to
// the platform's list of VMs or to the worker itself.
type LeavingFilter struct{}

// Name implements Filter.
func (LeavingFilter) Name() string { return LeavingFilterName }

// Admit implements Filter.
func (LeavingFilter) Admit(_ *Snapshot, _ *Request, w *Worker) bool {
	return !w.Leaving && w.VM.State != model.VMLeaving
}

// CordonFilter rejects workers in an availability zone that an operator has
// cordoned.
type CordonFilter struct{}

// Name implements Filter.
func (CordonFilter) Name() string { return CordonFilterName }

// Admit implements Filter.
func (CordonFilter) Admit(_ *Snapshot, _ *Request, w *Worker) bool { return !w.Cordoned }

// UnreachableFilter rejects workers that do not answer. A task placed on one
// would hold resources there until its lease is certain to have expired.
type UnreachableFilter struct{}

// Name implements Filter.
func (UnreachableFilter) Name() string { return UnreachableFilterName }

// Admit implements Filter.
func (UnreachableFilter) Admit(_ *Snapshot, _ *Request, w *Worker) bool { return !w.Unreachable }
