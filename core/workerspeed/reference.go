package workerspeed

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// Source is an attempt from which something is learned.
type Source struct {
	Task    job.TaskKey
	Attempt int
}

// sameStep reports whether both are attempts of tasks of one step.
func (s Source) sameStep(other Source) bool {
	a, b := s.Task, other.Task
	a.Index, b.Index = 0, 0
	return a == b
}

const (
	// referenceSize is how many attempts a reference holds.
	referenceSize = 32
	// referenceAge is how long an observation counts in a reference.
	referenceAge = 20 * time.Second
	// minOthers is how many attempts elsewhere tell what is usual.
	minOthers = 3
)

// Reference holds what a unit of the same work has lately taken, by attempt. Its zero
// value is empty. It is not safe for concurrent use.
type Reference struct {
	entries []referenceEntry
	// next is the index of the entry that is replaced next.
	next int
}

type referenceEntry struct {
	source Source
	worker model.Incarnation
	took   float64
	at     time.Time
}

// Observe takes in what a unit of work takes the attempt now. An attempt counts once,
// however often it is observed: slow ones are observed more often.
func (r *Reference) Observe(now time.Time, on model.Incarnation, source Source, took float64) {
	entry := referenceEntry{source: source, worker: on, took: took, at: now}
	if i := slices.IndexFunc(r.entries, func(e referenceEntry) bool { return e.source == source }); i >= 0 {
		r.entries[i] = entry
		return
	}
	if len(r.entries) < referenceSize {
		r.entries = append(r.entries, entry)
		return
	}
	r.entries[r.next] = entry
	r.next = (r.next + 1) % referenceSize
}

// Elsewhere returns the median of what a unit has lately taken on other workers than
// the given one. It returns false if too few attempts tell, or all of them ran on one
// worker.
func (r *Reference) Elsewhere(now time.Time, on model.Incarnation) (float64, bool) {
	took := make([]float64, 0, referenceSize)
	var first model.Incarnation
	several := false
	for i := range r.entries {
		e := &r.entries[i]
		if e.worker == on || now.Sub(e.at) > referenceAge {
			continue
		}
		if len(took) == 0 {
			first = e.worker
		}
		several = several || e.worker != first
		took = append(took, e.took)
	}
	if len(took) < minOthers || !several {
		return 0, false
	}
	slices.Sort(took)
	return took[(len(took)-1)/2], true
}
