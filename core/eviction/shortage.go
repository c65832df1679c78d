package eviction

import "github.com/guavarill/guavarill/core/model"

// relieveShortage deals with tasks that need more room than their worker has.
// Raising their holds would commit the worker beyond its capacity. Left alone,
// a shortage of memory would let the kernel kill a task of its own choosing. A
// shortage of processors only slows: it is acted on when the processors are
// contended, and for a service when its slowdown shows.
func (d *decision) relieveShortage() (Action, bool) {
	var missing model.Resources
	var largest *Shortage
	for i := range d.view.Shortages {
		s := &d.view.Shortages[i]
		missing = missing.Add(s.Missing)
		if largest == nil || shortageBefore(s, largest) {
			largest = s
		}
	}
	switch {
	case largest == nil:
		return Action{}, false
	case missing.MemoryMB > 0:
		return d.evictForRoom(model.Resources{MemoryMB: missing.MemoryMB}, MemoryShort)
	case d.view.Load >= d.options.ContendedLoad && !largest.Service:
		return d.throttleOveruse(largest)
	}
	return Action{}, false
}

// shortageBefore puts services first, then larger shortages, then smaller keys.
func shortageBefore(a, b *Shortage) bool {
	if a.Service != b.Service {
		return a.Service
	}
	if a.Missing.MilliCPU != b.Missing.MilliCPU {
		return a.Missing.MilliCPU > b.Missing.MilliCPU
	}
	return a.Task.Less(b.Task)
}

// evictForRoom evicts the cheapest task that alone gives back what is missing, or
// when none does the one that gives back most for its cost. Tasks that are
// stopping already count as given back.
func (d *decision) evictForRoom(missing model.Resources, reason Reason) (Action, bool) {
	for i := range d.view.Batch {
		if d.view.Batch[i].Stopping {
			missing = missing.Sub(d.view.Batch[i].Size)
		}
	}
	if missing.MilliCPU <= 0 && missing.MemoryMB <= 0 {
		return Action{}, false
	}
	var best *Task
	var bestMerit float64
	for i := range d.view.Batch {
		t := &d.view.Batch[i]
		given := coveredShare(t.Size, missing)
		if t.Stopping || given == 0 {
			continue
		}
		merit := given / d.options.Costs.EvictionCost(d.now, t)
		if best == nil || merit > bestMerit || (merit == bestMerit && taskLess(t, best)) {
			best, bestMerit = t, merit
		}
	}
	if best == nil {
		return Action{}, false
	}
	return newAction(Evict, d.view.Worker, best, 0, reason), true
}

// coveredShare returns the part of what is missing that size covers, at most 1.
func coveredShare(size, missing model.Resources) float64 {
	part := 1.0
	if missing.MilliCPU > 0 {
		part = min(part, float64(size.MilliCPU)/float64(missing.MilliCPU))
	}
	if missing.MemoryMB > 0 {
		part = min(part, float64(size.MemoryMB)/float64(missing.MemoryMB))
	}
	if missing.Accelerators > 0 {
		part = min(part, float64(size.Accelerators)/float64(missing.Accelerators))
	}
	return part
}

// throttleOveruse slows a batch task that uses more processors than it holds
// down to what it holds.
func (d *decision) throttleOveruse(s *Shortage) (Action, bool) {
	for i := range d.view.Batch {
		t := &d.view.Batch[i]
		if t.Key != s.Task || t.Stopping || t.Percent <= d.options.MiddlePercent {
			continue
		}
		return newAction(Throttle, d.view.Worker, t, d.options.MiddlePercent, CPUShort), true
	}
	return Action{}, false
}
