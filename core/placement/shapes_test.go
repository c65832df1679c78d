package placement

import (
	"errors"
	"testing"

	"github.com/guavarill/guavarill/core/model"
)

// Guards against a job that is larger than every worker staying pending forever
// without that reason.
func TestNeverFits(t *testing.T) {
	shapes := append(fleet(2, 1, 1, res(16000, 60000, 0)), fleet(1, 1, 1, res(8000, 30000, 4))...)
	shapes[2].VM.ID = "special"
	s := NewSnapshot(shapes, nil)
	cases := map[string]struct {
		size model.Resources
		want model.Dimension
	}{
		"too many processors":             {res(17000, 1, 0), model.DimensionCPU},
		"too much memory":                 {res(1, 60001, 0), model.DimensionMemory},
		"too many accelerators":           {res(1, 1, 5), model.DimensionAccelerators},
		"each fits some worker, none all": {res(12000, 1, 1), model.DimensionCPU},
	}
	for name, c := range cases {
		_, err := Default(Options{}).Place(s, batch(1, c.size))
		var never *NeverFitsError
		if !errors.As(err, &never) || never.Dimension != c.want {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// A full worker, or an empty snapshot, must not give a NeverFitsError.
func TestFullClusterIsNotNeverFits(t *testing.T) {
	workers := fleet(1, 1, 1, big)
	workers[0].Free = model.Resources{}
	for _, s := range []*Snapshot{NewSnapshot(workers, nil), NewSnapshot(nil, nil)} {
		_, err := Default(Options{}).Place(s, batch(1, res(1000, 1000, 0)))
		var unplaceable *UnplaceableError
		if !errors.As(err, &unplaceable) {
			t.Errorf("got %v", err)
		}
	}
}
