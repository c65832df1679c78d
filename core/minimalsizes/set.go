package minimalsizes

import (
	"slices"

	"github.com/guavarill/guavarill/core/model"
)

// Set holds sizes by kind of demand. Of sizes that fit in one another it holds the
// smaller.
type Set[K comparable] map[K][]model.Resources

// Add adds a size and drops those that are at least as large.
func (s Set[K]) Add(kind K, size model.Resources) {
	kept := slices.DeleteFunc(s[kind], func(known model.Resources) bool { return size.Fits(known) })
	s[kind] = append(kept, size)
}

// AnyFitsIn reports whether one of the sizes of a kind is no larger than size.
func (s Set[K]) AnyFitsIn(kind K, size model.Resources) bool {
	return slices.ContainsFunc(s[kind], func(known model.Resources) bool { return known.Fits(size) })
}
