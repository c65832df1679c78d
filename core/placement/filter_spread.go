package placement

import "math"

// SpreadFilterName names the filter by even spread.
const SpreadFilterName = "spread"

// SpreadFilter keeps a service that asks for it evenly spread over zones or
// racks, with Slack as the share by which one may exceed an even part. It is
// soft: when the even place has no room, running there is better than waiting,
// and SurviveFilter still holds.
type SpreadFilter struct {
	Slack float64
}

// DefaultSpreadFilter lets a place exceed its even part by a fifth.
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
