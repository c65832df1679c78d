package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of all lists ordered by time, process and
// sequence. An event that stands in several lists is returned once: two
// daemons may both have been asked for the same process's events.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compare)
	return slices.CompactFunc(all, func(a, b Event) bool { return compare(a, b) == 0 })
}

// compare looks at the content last. A process that restarted under the same
// name numbers its events from 1 again; with a coarse clock an event of its new
// boot would otherwise be taken for a copy of an old one and vanish.
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
