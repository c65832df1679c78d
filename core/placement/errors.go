package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/guavarill/guavarill/core/model"
)

// UnplaceableError is returned for a task that no worker can take now.
type UnplaceableError struct {
	Key model.TaskKey
	// Reasons counts the workers by the name of the first filter that
	// rejected them.
	Reasons map[string]int
	// Dimension is the dimension in which most workers lacked room. It is
	// empty if no worker was rejected for lack of room.
	Dimension model.Dimension
}

// Error implements error. Filters are listed by name.
func (e *UnplaceableError) Error() string {
	names := make([]string, 0, len(e.Reasons))
	for name := range e.Reasons {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, e.Reasons[name]))
	}
	if len(parts) == 0 {
		parts = append(parts, "no workers known")
	}
	return fmt.Sprintf("task %s: no worker can take it now: %s", e.Key, strings.Join(parts, ", "))
}

// NeverFitsError is returned for a task that is larger than every worker, so
// that it would not fit even on an empty one.
type NeverFitsError struct {
	Key  model.TaskKey
	Size model.Resources
	// Largest is the capacity that comes closest to holding the task, and
	// Dimension is the dimension in which the task exceeds it most.
	Dimension model.Dimension
	Largest   model.Resources
}

// Error implements error.
func (e *NeverFitsError) Error() string {
	return fmt.Sprintf("task %s of size %s fits no worker: too much %s for the closest capacity, %s",
		e.Key, e.Size, e.Dimension, e.Largest)
}
