package joborder

import (
	"cmp"
	"strings"

	"github.com/guavarill/guavarill/core/job"
)

// Rank holds the sort keys of a step that waits for workers.
type Rank struct {
	// Interrupted is set for the turn that covers only the tasks of the step that ran
	// before.
	Interrupted bool
	LongRunning bool
	// Priority is that of the queue; 0 comes first.
	Priority int
	Lateness Lateness
	// ShareUsed is the part of its share that the step's class of work uses, if room is
	// shared.
	ShareUsed float64
	// Cost is what it takes to finish the occurrence, in relation to its size.
	Cost float64
	// ObjectiveMs is the time by which the occurrence should be done, as Unix time in
	// milliseconds.
	ObjectiveMs int64

	Job        job.ID
	Occurrence int
	Step       int
}

// CompareUrgency puts long-running tasks first, since each second without them is
// lost for good, and among these the interrupted ones: otherwise, in a full
// cluster, new jobs would take every place that becomes free, and tasks that ran
// before would not run again. Then come the lower priority number; then jobs that
// can still meet their objective, those that can only be late, and those too late to
// be of use; then the lower cost; then the earlier objective.
func CompareUrgency(a, b Rank) int {
	return cmp.Or(
		CompareFirst(a.Interrupted, b.Interrupted),
		CompareFirst(a.LongRunning, b.LongRunning),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Lateness, b.Lateness),
		cmp.Compare(a.Cost, b.Cost),
		cmp.Compare(a.ObjectiveMs, b.ObjectiveMs),
		strings.Compare(string(a.Job), string(b.Job)),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step),
	)
}

// CompareSharing orders steps where room is shared. Interrupted long-running tasks come
// first; new ones have no precedence over short work of their priority. Of jobs with
// equal priority that are alike in time, those whose queue is furthest below its share
// come first.
func CompareSharing(a, b Rank) int {
	return cmp.Or(
		CompareFirst(a.Interrupted, b.Interrupted),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Lateness, b.Lateness),
		cmp.Compare(a.ShareUsed, b.ShareUsed),
		CompareUrgency(a, b),
	)
}

// CompareFirst orders true before false.
func CompareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
