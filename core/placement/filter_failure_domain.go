package placement

import "math"

// FailureDomainFilterName is the name of FailureDomainFilter.
const FailureDomainFilterName = "loss bound"

// FailureDomainFilter limits the share of a service's instances in one failure
// domain (a worker, a rack or an availability zone), so that enough instances
// are left when one of them is lost. A limit applies only if there are at
// least two domains of its kind, and always allows one instance.
type FailureDomainFilter struct {
	// Zone, Rack and Worker are the largest allowed shares, above 0 and at
	// most 1.
	Zone, Rack, Worker float64
}

// DefaultFailureDomainFilter lets a zone hold half of a service's instances, a
// rack a third and a worker one in twenty-five.
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
	n := expectedInstances(r, c)
	own := s.predictions.profile(r.Class, r.Workload, true)
	return withinShare(countAt(c.zones, w.zone), n, f.Zone, s.zones.inUse) &&
		withinShare(countAt(c.racks, w.rack), n, f.Rack, s.racks.inUse) &&
		withinShare(w.instancesOf(own), n, f.Worker, len(s.eligible))
}

// expectedInstances returns the number of instances of which shares are
// computed: the requested number, or the instances already placed plus this
// one if that is more.
func expectedInstances(r *Request, c *spreadCount) int { return max(r.Instances, c.total+1) }

// withinShare reports whether a domain that holds the given number of
// instances stays within its share of n when it gets one more. The share is
// raised to an even one if it is smaller: two racks cannot each hold less than
// half.
func withinShare(held, n int, share float64, places int) bool {
	if places <= 1 {
		return true
	}
	even := 1 / float64(places)
	bound := math.Ceil(float64(n) * max(share, even))
	return held+1 <= max(1, int(bound))
}
