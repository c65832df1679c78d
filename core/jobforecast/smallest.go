package jobforecast

import (
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// maxSmallest bounds the kinds of tasks in a forecast.
const maxSmallest = 16

// TaskKind is what decides whether a task finds room.
type TaskKind struct {
	model.Resources
	// Image is that of best-effort tasks, which are kept from workers whose serving tasks
	// they would disturb; empty for other tasks.
	Image string `json:"image,omitempty"`
}

// KindOf returns the kind of a step's tasks.
func KindOf(s *job.Step) TaskKind {
	k := TaskKind{Resources: s.Size}
	if s.BestEffort {
		k.Image = s.Image
	}
	return k
}

// AddSmallest adds the kind of a task that finds no room, unless one that is not larger
// is there already, and drops those that it is not larger than.
func AddSmallest(kinds []TaskKind, kind TaskKind) []TaskKind {
	if isCovered(kinds, kind) {
		return kinds
	}
	kept := kinds[:0]
	for _, k := range kinds {
		if !isWithin(kind, k) {
			kept = append(kept, k)
		}
	}
	if len(kept) == maxSmallest {
		return kept
	}
	return append(kept, kind)
}

// isCovered reports whether a task of the given kind has no room, because one that is
// not larger has none.
func isCovered(kinds []TaskKind, kind TaskKind) bool {
	for _, k := range kinds {
		if isWithin(k, kind) {
			return true
		}
	}
	return false
}

// isWithin reports whether a task of kind a finds room wherever one of kind b does.
func isWithin(a, b TaskKind) bool {
	return a.Image == b.Image && a.MilliCPU <= b.MilliCPU && a.MemoryMB <= b.MemoryMB && a.Accelerators <= b.Accelerators
}
