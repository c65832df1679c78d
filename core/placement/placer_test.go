package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/core/model"
)

func seeded(tests int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20261202)
	p.MinSuccessfulTests = tests
	return p
}

// churn places and releases tasks of random sizes on a fleet and checks every
// decision against an exhaustive search. It returns a description of the first
// error, or an empty string.
func churn(seed uint64) string {
	rnd := rand.New(rand.NewPCG(seed, 1))
	workers := append(fleet(6, 2, 2, res(4000, 8000, 0)), fleet(2, 2, 1, res(4000, 8000, 2))...)
	for i := 6; i < 8; i++ {
		workers[i].VM.ID = model.WorkerID(fmt.Sprintf("a%d", i))
	}
	s := NewSnapshot(workers, nil)
	p := Default(Options{Random: rand.NewPCG(seed, 2)})
	running := map[model.TaskKey]model.WorkerID{}
	var order []model.TaskKey
	for i := range uint32(300) {
		if len(order) > 0 && rnd.IntN(3) == 0 {
			key := order[0]
			order = order[1:]
			s.Release(key, running[key])
			delete(running, key)
		}
		if rnd.IntN(20) == 0 {
			w := *s.workers[rnd.IntN(s.Len())]
			w.Quarantined = !w.Quarantined
			s.Put(w)
		}
		r := batch(i, res(rnd.Int64N(2500), rnd.Int64N(5000), rnd.Int64N(3)/2))
		possible := false
		for _, w := range s.workers {
			possible = possible || (w.eligible() && r.Size.Fits(w.Free))
		}
		d, err := p.Place(s, r)
		var unplaceable *UnplaceableError
		switch {
		case err == nil && !possible:
			return fmt.Sprintf("step %d: placed %v where nothing fits", i, r.Size)
		case errors.As(err, &unplaceable) && possible:
			return fmt.Sprintf("step %d: %v refused although it fits", i, r.Size)
		case err != nil:
			continue
		}
		if !s.Assume(r, d.Worker) {
			return fmt.Sprintf("step %d: decided for a worker without room", i)
		}
		running[r.Key] = d.Worker
		order = append(order, r.Key)
		if bad := inconsistent(s); bad != "" {
			return fmt.Sprintf("step %d: %s", i, bad)
		}
	}
	return ""
}

// inconsistent describes a wrong sum or index entry of a snapshot. It returns an
// empty string if there is none.
func inconsistent(s *Snapshot) string {
	for slot, w := range s.workers {
		sum := model.Resources{}
		for _, t := range w.Tasks {
			sum = sum.Add(t.Size)
		}
		if sum != w.Committed || !sum.Fits(w.VM.Capacity) || w.Free != w.VM.Capacity.Sub(sum) {
			return fmt.Sprintf("%s: tasks %v, committed %v, free %v", w.VM.ID, sum, w.Committed, w.Free)
		}
		if !w.eligible() {
			continue
		}
		cell := *s.grid.cell(w.cell)
		if w.cell != cellOf(w.Free) || cell[s.position[slot]] != int32(slot) {
			return fmt.Sprintf("%s: not in its cell", w.VM.ID)
		}
	}
	return ""
}

// Guards against a task staying pending although a worker has room, or being
// placed on a worker without room, because the index lost or misplaced a worker
// when its free resources changed.
func TestPlaceAgreesWithExhaustiveSearch(t *testing.T) {
	properties := gopter.NewProperties(seeded(60))
	properties.Property("every decision is possible, every refusal necessary", prop.ForAll(
		func(seed uint64) (bool, error) {
			if bad := churn(seed); bad != "" {
				return false, errors.New(bad)
			}
			return true, nil
		}, gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against a pending task being rejected after room was freed because its
// size is remembered as rejected for too long.
func TestRejectedSizeIsForgottenWhenRoomIsFreed(t *testing.T) {
	s := NewSnapshot(fleet(1, 1, 1, big), nil)
	p := Default(Options{})
	first, second := batch(1, big), batch(2, res(1, 1, 0))
	s.Assume(first, "w0000")
	for range 2 {
		_, err := p.Place(s, second)
		var unplaceable *UnplaceableError
		if !errors.As(err, &unplaceable) || unplaceable.Key != second.Key || unplaceable.Dimension != model.DimensionCPU {
			t.Fatalf("full worker: %v", err)
		}
	}
	s.Release(first.Key, "w0000")
	if d, err := p.Place(s, second); err != nil || d.Worker != "w0000" {
		t.Fatalf("freed worker: %v, %v", d, err)
	}
}

func TestSameRandomSourceGivesSameDecisions(t *testing.T) {
	run := func() (out []model.WorkerID) {
		s := NewSnapshot(fleet(40, 8, 3, big), fixedEffects{"job": 0.1})
		p := Default(Options{Random: rand.NewPCG(3, 4)})
		for i := range uint32(200) {
			r := batch(i, res(1000, 2000, 0))
			d, err := p.Place(s, r)
			if err != nil {
				t.Fatal(err)
			}
			s.Assume(r, d.Worker)
			out = append(out, d.Worker)
		}
		return out
	}
	a, b := run(), run()
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("decision %d: %s and %s", i, a[i], b[i])
		}
	}
}

func TestResizeNeverOvercommits(t *testing.T) {
	s := NewSnapshot(fleet(1, 1, 1, res(1000, 1000, 0)), nil)
	r := batch(1, res(400, 400, 0))
	s.Assume(r, "w0000")
	if s.Resize(r.Key, "w0000", res(400, 1001, 0)) {
		t.Error("grew beyond the worker")
	}
	if !s.Resize(r.Key, "w0000", res(400, 1000, 0)) || inconsistent(s) != "" {
		t.Errorf("growth within the worker: %s", inconsistent(s))
	}
}
