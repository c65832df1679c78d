package placement

import (
	"slices"
	"testing"

	"github.com/guavarill/guavarill/core/model"
)

// Guards against a task being retried on the worker where it just failed while
// others are free, and against a task staying pending forever because that
// worker is the only one.
func TestFailedWorkerIsTheLastResort(t *testing.T) {
	workers := fleet(2, 1, 1, big)
	s := NewSnapshot(workers, nil)
	r := batch(1, res(1000, 1000, 0))
	r.FailedWorkers = []model.WorkerID{workers[0].VM.ID}
	d, err := Default(Options{}).Place(s, r)
	if err != nil || d.Worker != workers[1].VM.ID || len(d.Relaxed) != 0 {
		t.Fatalf("with another worker free: %v, %v", d, err)
	}
	s.Remove(workers[1].VM.ID)
	d, err = Default(Options{}).Place(s, r)
	if err != nil || d.Worker != workers[0].VM.ID || !slices.Contains(d.Relaxed, FailedFilterName) {
		t.Fatalf("with no other worker: %v, %v", d, err)
	}
}
