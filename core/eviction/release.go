package eviction

// releaseOne unthrottles one task by one step, the dearest first and among
// equals the one that has waited longest. None goes above its ceiling,
// and none whose larger hold has no room is raised.
func (d *decision) releaseOne(reason Reason) (Action, bool) {
	var best *Task
	for i := range d.view.Batch {
		t := &d.view.Batch[i]
		if t.Stopping || t.Percent >= d.ceiling(t) {
			continue
		}
		if !t.growth(d.raised(t)).Fits(d.view.Free) {
			continue
		}
		if best == nil || d.releasedBefore(t, best) {
			best = t
		}
	}
	if best == nil {
		return Action{}, false
	}
	return action(Unthrottle, d.view.Worker, best, d.raised(best), reason), true
}

func (d *decision) raised(t *Task) uint32 {
	if t.Percent < d.options.MiddlePercent {
		return d.options.MiddlePercent
	}
	return FullSpeed
}

func (d *decision) releasedBefore(a, b *Task) bool {
	costA, costB := d.options.Costs.class(a), d.options.Costs.class(b)
	if costA != costB {
		return costA > costB
	}
	if !a.ThrottledAt.Equal(b.ThrottledAt) {
		return a.ThrottledAt.Before(b.ThrottledAt)
	}
	return less(a, b)
}
