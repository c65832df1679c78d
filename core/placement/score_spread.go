package placement

// SpreadScore prefers the zone and rack that hold the fewest instances of a
// service. It does not spread over the workers of a rack: services should share
// workers up to the limit of FailureDomainFilter, so that some workers have no
// service and noisy batch work is harmless there. Batch tasks get the same
// score everywhere.
type SpreadScore struct {
	// W is the weight of the score.
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

// crowding returns 0 for a domain without instances and 0.5 for one with its
// even share of n, and approaches 1 beyond that.
func crowding(held int, n float64, places int) float64 {
	if held == 0 || places <= 1 {
		return 0
	}
	part := n / float64(places)
	return float64(held) / (float64(held) + part)
}
