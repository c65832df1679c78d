package placement

import (
	"slices"
	"testing"

	"github.com/guavarill/guavarill/core/model"
)

func TestSpreadIsEvenWhileThereIsRoom(t *testing.T) {
	const n = 30
	s := NewSnapshot(fleet(30, 5, 3, big), nil)
	p := New(DefaultFilters(), []Score{PackingScore{W: 1}}, Options{})
	zones := map[model.Zone]int{}
	for i := range uint32(n) {
		r := instance(i, n)
		r.Spread = SpreadZone
		d, err := p.Place(s, r)
		if err != nil || len(d.Relaxed) > 0 || !s.Assume(r, d.Worker) {
			t.Fatalf("instance %d: %v %v", i, d, err)
		}
		w, _ := s.Worker(d.Worker)
		zones[w.VM.Zone]++
	}
	for zone, held := range zones {
		if held > 12 {
			t.Errorf("zone %s holds %d of %d", zone, held, n)
		}
	}
}

// Guards against instances staying pending although there is room, because the
// zone that an even spread requires has none.
func TestSpreadIsDroppedForLackOfRoom(t *testing.T) {
	workers := fleet(4, 1, 4, big)
	for i := range workers[:2] {
		workers[i].Free = model.Resources{}
		workers[i].Committed = big
	}
	s := NewSnapshot(workers, nil)
	p := New([]Filter{RoomFilter{}, DefaultSpreadFilter()}, nil, Options{})
	relaxed := false
	for i := range uint32(8) {
		r := instance(i, 8)
		r.Spread = SpreadZone
		d, err := p.Place(s, r)
		if err != nil || !s.Assume(r, d.Worker) {
			t.Fatalf("instance %d: %v", i, err)
		}
		relaxed = relaxed || slices.Contains(d.Relaxed, SpreadFilterName)
	}
	if !relaxed {
		t.Error("the spread filter was never dropped, although two of four zones have no room")
	}
}
