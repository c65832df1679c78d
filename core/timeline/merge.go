package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of all lists, ordered by time, process and sequence.
// It drops duplicates, which occur when two daemons return the events of the same
// process.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compare)
	return slices.CompactFunc(all, func(a, b Event) bool { return compare(a, b) == 0 })
}

// compare orders events as Merge does and compares their contents last. A process
// that restarts under the same name numbers its events from 1 again. With a coarse
// clock, an event after the restart may have the time, process and sequence of an
// event before it and would otherwise be dropped as a duplicate.
func compare(a, b Event) int {
	return cmp.Or(
		a.Time.Compare(b.Time),
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Subject, b.Subject),
		cmp.Compare(a.Detail, b.Detail),
		cmp.Compare(position(&a), position(&b)),
	)
}
