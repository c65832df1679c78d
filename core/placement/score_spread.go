package placement

// SpreadScore prefers the zone and rack that hold the fewest instances of a
// service. Workers are left out: within a rack services are better kept
// together, up to SurviveFilter's bound, so that workers without any are left
// where loud batch work harms nobody. Batch tasks are rated alike everywhere.
type SpreadScore struct {
	W float64
}

// Name implements Score.
func (SpreadScore) Name() string { return "spread" }

// Weight implements Score.
func (c SpreadScore) Weight() float64 { return c.W }

// Score implements Score.
func (SpreadScore) Score(s *Snapshot, r *Request, w *Worker) float64 {
	if !r.Service {
		return 1
	}
	c, ok := s.spread[r.Workload]
	if !ok {
		return 1
	}
	n := float64(expectedInstances(r, c))
	zone := crowding(countAt(c.zones, w.zone), n, s.zones.inUse)
	rack := crowding(countAt(c.racks, w.rack), n, s.racks.inUse)
	return 1 - (zone+rack)/2
}

// crowding returns 0 for an empty place, one half for one that holds its even
// part, and tends to 1.
func crowding(held int, n float64, places int) float64 {
	if held == 0 || places <= 1 {
		return 0
	}
	part := n / float64(places)
	return float64(held) / (float64(held) + part)
}
