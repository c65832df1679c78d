package eviction

import "github.com/guavarill/guavarill/core/model"

// relieveShortage handles tasks that need more resources than their worker has.
// Committing those would exceed the worker's capacity. Without an eviction, a
// shortage of memory would make the kernel kill a task of its own choice. A
// shortage of processors only slows tasks down: a batch task with such a
// shortage is throttled when the processors are contended, and for a service
// the measured slowdown leads to an action.
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

// shortageBefore orders shortages: services first, then larger shortages of
// processors, then smaller keys.
func shortageBefore(a, b *Shortage) bool {
	if a.Service != b.Service {
		return a.Service
	}
	if a.Missing.MilliCPU != b.Missing.MilliCPU {
		return a.Missing.MilliCPU > b.Missing.MilliCPU
	}
	return a.Task.Less(b.Task)
}

// evictForRoom evicts the task that frees the largest share of the missing
// resources for its cost. Resources beyond the missing ones do not count. The
// resources of tasks that are already stopping count as freed.
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

// coveredShare returns the share of the missing resources that size covers, at
// most 1, in the dimension in which it covers the least.
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

// throttleOveruse throttles a batch task that uses more processors than are
// committed for it, to Options.MiddlePercent. It returns false if the task is
// already throttled that far or is stopping.
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
