package eviction

// unthrottleOne raises the throttle of one task by one step. The task with the
// highest cost class comes first, and among equals the one whose throttle was
// changed longest ago. Tasks that are at their ceiling, or for whose larger
// committed size the worker has no room, are skipped.
func (d *decision) unthrottleOne(reason Reason) (Action, bool) {
	var best *Task
	for i := range d.view.Batch {
		t := &d.view.Batch[i]
		if t.Stopping || t.Percent >= d.ceiling(t) {
			continue
		}
		if !t.growthTo(d.higherPercent(t)).Fits(d.view.Free) {
			continue
		}
		if best == nil || d.unthrottledBefore(t, best) {
			best = t
		}
	}
	if best == nil {
		return Action{}, false
	}
	return newAction(Unthrottle, d.view.Worker, best, d.higherPercent(best), reason), true
}

func (d *decision) higherPercent(t *Task) uint32 {
	if t.Percent < d.options.MiddlePercent {
		return d.options.MiddlePercent
	}
	return FullSpeed
}

func (d *decision) unthrottledBefore(a, b *Task) bool {
	costA, costB := d.options.Costs.classWeight(a), d.options.Costs.classWeight(b)
	if costA != costB {
		return costA > costB
	}
	if !a.ThrottledAt.Equal(b.ThrottledAt) {
		return a.ThrottledAt.Before(b.ThrottledAt)
	}
	return taskLess(a, b)
}
