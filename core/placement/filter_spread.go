package placement

import "math"

// SpreadFilterName is the name of SpreadFilter.
const SpreadFilterName = "spread"

// SpreadFilter spreads the instances of a service evenly over availability
// zones or racks if the service's declaration asks for it. It is soft: when an
// even spread has no room, an uneven one is better than a pending instance,
// and FailureDomainFilter still applies.
type SpreadFilter struct {
	// Slack is the fraction by which a zone or rack may exceed its even share.
	Slack float64
}

// DefaultSpreadFilter lets a zone or rack exceed its even share by a fifth.
func DefaultSpreadFilter() SpreadFilter { return SpreadFilter{Slack: 0.2} }

// Name implements Filter.
func (SpreadFilter) Name() string { return SpreadFilterName }

// Soft implements SoftFilter.
func (SpreadFilter) Soft() {}

// Admit implements Filter.
func (f SpreadFilter) Admit(s *Snapshot, r *Request, w *Worker) bool {
	if !r.Service {
		return true
	}
	c, ok := s.spread[r.Workload]
	if !ok {
		return true
	}
	switch r.Spread {
	case SpreadZone:
		return f.withinEvenShare(countAt(c.zones, w.zone), expectedInstances(r, c), s.zones.inUse)
	case SpreadRack:
		return f.withinEvenShare(countAt(c.racks, w.rack), expectedInstances(r, c), s.racks.inUse)
	}
	return true
}

func (f SpreadFilter) withinEvenShare(held, n, places int) bool {
	if places <= 1 {
		return true
	}
	part := float64(n) / float64(places)
	return held+1 <= int(math.Ceil(part*(1+f.Slack)))
}
