package placement

import "testing"

// Guards against too few instances being left after the loss of a rack or zone
// because packing put them together. The limits must hold whatever the scores
// are.
func TestFailureDomainLimitsHold(t *testing.T) {
	const n = 50
	for name, c := range map[string]struct {
		filter              FailureDomainFilter
		zone, rack, workers int
	}{
		"zone":   {FailureDomainFilter{Zone: 0.5, Rack: 1, Worker: 1}, 25, n, n},
		"rack":   {FailureDomainFilter{Zone: 1, Rack: 0.34, Worker: 1}, n, 17, n},
		"worker": {FailureDomainFilter{Zone: 1, Rack: 1, Worker: 0.04}, n, n, 2},
	} {
		zones, racks, workers := pack(t, n, c.filter)
		if largest(zones) != c.zone && c.zone < n {
			t.Errorf("%s: a zone holds %d", name, largest(zones))
		}
		if largest(racks) != c.rack && c.rack < n {
			t.Errorf("%s: a rack holds %d", name, largest(racks))
		}
		if largest(workers) != c.workers && c.workers < n {
			t.Errorf("%s: a worker holds %d", name, largest(workers))
		}
	}
}

// pack places n instances as tightly as a filter allows and counts them by
// domain.
func pack(t *testing.T, n int, f FailureDomainFilter) (zones, racks, workers map[string]int) {
	t.Helper()
	s := NewSnapshot(fleet(50, 8, 3, big), nil)
	p := New([]Filter{RoomFilter{}, f}, []Score{keepTogether{}}, Options{RandomCandidates: 100})
	zones, racks, workers = map[string]int{}, map[string]int{}, map[string]int{}
	for i := range uint32(n) {
		r := instance(i, n)
		d, err := p.Place(s, r)
		if err != nil || !s.Assume(r, d.Worker) {
			t.Fatalf("instance %d: %v", i, err)
		}
		w, _ := s.Worker(d.Worker)
		zones[string(w.VM.Zone)]++
		racks[string(w.VM.Rack)]++
		workers[string(d.Worker)]++
	}
	return zones, racks, workers
}

// keepTogether prefers the domains that hold the most instances, which is the
// worst case for a limit.
type keepTogether struct{}

func (keepTogether) Name() string    { return "together" }
func (keepTogether) Weight() float64 { return 1 }
func (keepTogether) Score(s *Snapshot, r *Request, w *Worker) float64 {
	c, ok := s.spread[r.Workload]
	if !ok {
		return 0
	}
	held := countAt(c.zones, w.zone)*10_000 + countAt(c.racks, w.rack)*100 + w.instancesOf(s.predictions.profile(r.Class, r.Workload, true))
	return float64(held) / 1e6
}

func largest(counts map[string]int) int {
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}

// Guards against instances of a lost zone not being placed again because the
// limit still counts the lost zone as a domain to choose from.
func TestLimitsFollowRemainingDomains(t *testing.T) {
	s := NewSnapshot(fleet(4, 2, 2, big), nil)
	p := Default(Options{})
	s.Remove("w0000")
	s.Remove("w0001")
	for i := range uint32(4) {
		r := instance(i, 4)
		d, err := p.Place(s, r)
		if err != nil || !s.Assume(r, d.Worker) {
			t.Fatalf("instance %d: %v", i, err)
		}
	}
}
