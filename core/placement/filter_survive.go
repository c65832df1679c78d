package placement

import "math"

// FailureDomainFilterName names the filter by what one loss would leave.
const FailureDomainFilterName = "loss bound"

// FailureDomainFilter bounds the share of a service's instances that one worker,
// rack or zone may hold, so that the loss of any one of them leaves enough. A
// bound applies only while there is more than one place to choose from, and
// always allows one instance.
type FailureDomainFilter struct {
	// Zone, Rack and Worker are the largest shares, above 0 and at most 1.
	Zone, Rack, Worker float64
}

// DefaultFailureDomainFilter lets a zone hold half of a service, a rack a third and
// a worker one in twenty-five.
func DefaultFailureDomainFilter() FailureDomainFilter {
	return FailureDomainFilter{Zone: 0.5, Rack: 0.34, Worker: 0.04}
}

// Name implements Filter.
func (FailureDomainFilter) Name() string { return FailureDomainFilterName }

// Admit implements Filter.
func (f FailureDomainFilter) Admit(s *Snapshot, r *Request, w *Worker) bool {
	if !r.Service {
		return true
	}
	c, ok := s.spread[r.Workload]
	if !ok {
		return true
	}
	n := instances(r, c)
	own := s.effects.profile(r.Class, r.Workload, true)
	return below(countAt(c.zones, w.zone), n, f.Zone, s.zones.inUse) &&
		below(countAt(c.racks, w.rack), n, f.Rack, s.racks.inUse) &&
		below(w.instancesOf(own), n, f.Worker, len(s.eligible))
}

// instances returns how many instances the shares are of.
func instances(r *Request, c *spreadCount) int { return max(r.Instances, c.total+1) }

// below reports whether one more instance keeps a place within its share. A
// share too small for the number of places there are is widened to an even
// one: two racks cannot each hold less than half.
func below(held, n int, share float64, places int) bool {
	if places <= 1 {
		return true
	}
	even := 1 / float64(places)
	bound := math.Ceil(float64(n) * max(share, even))
	return held+1 <= max(1, int(bound))
}
