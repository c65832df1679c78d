package model

import (
	"cmp"
	"fmt"
)

// Incarnation identifies one run of a worker's process, from its start to its end.
// The worker's tasks and counters do not outlive it. A worker may restart under the
// same id, which begins another incarnation.
type Incarnation struct {
	ID WorkerID
	// StartedMs is when the incarnation was started, by the worker's clock, as
	// Unix time in milliseconds; 0 if that is unknown. It only distinguishes
	// incarnations and does not order them: clocks may jump, so a later
	// incarnation may have an earlier time.
	StartedMs int64 `json:",omitempty"`
}

// String returns the id and, if it is known, the time of the start.
func (i Incarnation) String() string {
	if i.StartedMs == 0 {
		return string(i.ID)
	}
	return fmt.Sprintf("%s started at %d", i.ID, i.StartedMs)
}

// Compare compares incarnations by their ids, then by the times of their starts.
// Its result is that of cmp.Compare.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.ID, other.ID), cmp.Compare(i.StartedMs, other.StartedMs))
}
