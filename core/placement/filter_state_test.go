package placement

import (
	"errors"
	"testing"

	"github.com/guavarill/guavarill/core/model"
)

// Guards against a task starting on a worker that is quarantined, leaving,
// unreachable or in a cordoned zone. Each state alone must exclude every task and be named as the
// reason.
func TestWorkerStateExcludesTasks(t *testing.T) {
	cases := map[string]func(w *Worker){
		QuarantineFilterName:  func(w *Worker) { w.Quarantined = true },
		LeavingFilterName:     func(w *Worker) { w.Leaving = true },
		UnreachableFilterName: func(w *Worker) { w.Unreachable = true },
		CordonFilterName:      func(w *Worker) { w.Cordoned = true },
	}
	for name, change := range cases {
		workers := fleet(1, 1, 1, big)
		change(&workers[0])
		_, err := Default(Options{}).Place(NewSnapshot(workers, nil), batch(1, res(1, 1, 0)))
		var unplaceable *UnplaceableError
		if !errors.As(err, &unplaceable) || unplaceable.Reasons[name] != 1 {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestWorkerLeavingByListOfVMs(t *testing.T) {
	workers := fleet(2, 1, 1, big)
	workers[0].VM.State = model.VMLeaving
	d, err := Default(Options{}).Place(NewSnapshot(workers, nil), batch(1, res(1, 1, 0)))
	if err != nil || d.Worker != workers[1].VM.ID {
		t.Fatalf("got %v, %v", d, err)
	}
}
