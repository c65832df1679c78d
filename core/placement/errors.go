package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/guavarill/guavarill/core/model"
)

// UnplaceableError says that no worker can take a task now.
type UnplaceableError struct {
	Key model.TaskKey
	// Reasons counts the workers by the name of the first filter that
	// rejected them.
	Reasons map[string]int
	// Dimension is the one in which most workers lacked room; empty when room
	// was not the reason.
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

// NeverFitsError says that no worker, even an empty one, holds a task.
type NeverFitsError struct {
	Key  model.TaskKey
	Size model.Resources
	// Dimension is the one that is too large for the worker that comes
	// closest.
	Dimension model.Dimension
	// Largest is the capacity of that worker.
	Largest model.Resources
}

// Error implements error.
func (e *NeverFitsError) Error() string {
	return fmt.Sprintf("task %s of size %s fits no worker: too much %s for the closest, %s",
		e.Key, e.Size, e.Dimension, e.Largest)
}
