package workerspeed

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

func worker(i int) model.Incarnation {
	return model.Incarnation{ID: model.WorkerID(fmt.Sprint("w", i))}
}

// TestReferenceWithSlowWorkers: a quarter of the workers takes six times as long and is
// observed six times as often; what is usual is what the others take.
func TestReferenceWithSlowWorkers(t *testing.T) {
	var r Reference
	for round := range 6 {
		for i := range 20 {
			switch {
			case i%4 == 0:
				r.Observe(begin, worker(i), source(0, i), 6)
			case round == 0:
				r.Observe(begin, worker(i), source(0, i), 1)
			}
		}
	}
	if got, known := r.Elsewhere(begin, worker(0)); !known || got != 1 {
		t.Errorf("usual is %.2f (known: %v), want 1", got, known)
	}
}

// TestReferenceNeedsOthers: neither the worker itself, nor one other worker alone, nor
// old observations tell what is usual.
func TestReferenceNeedsOthers(t *testing.T) {
	var r Reference
	for i := range 4 {
		r.Observe(begin, worker(0), source(0, i), 6)
		r.Observe(begin, worker(1), source(1, i), 1)
	}
	if got, known := r.Elsewhere(begin, worker(0)); known {
		t.Errorf("usual is %.2f by one other worker, want unknown", got)
	}
	r.Observe(begin, worker(2), source(2, 0), 1)
	if _, known := r.Elsewhere(begin, worker(0)); !known {
		t.Error("unknown with five attempts on two other workers")
	}
	if _, known := r.Elsewhere(begin.Add(referenceAge+time.Second), worker(0)); known {
		t.Error("known by observations that are too old")
	}
}

// TestReferenceIsBounded guards against a step or image whose attempts are all kept.
func TestReferenceIsBounded(t *testing.T) {
	var r Reference
	for i := range 10 * referenceSize {
		r.Observe(begin, worker(i%7), source(0, i), 1)
	}
	if len(r.entries) != referenceSize {
		t.Errorf("%d entries, want %d", len(r.entries), referenceSize)
	}
}
