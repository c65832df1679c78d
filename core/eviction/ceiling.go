package eviction

// The start of a noisy phase is known only after the report lag. That is too
// late for a task that alone can push a service far over its limit, so such a
// task does not run at full speed next to the service in the first place.

// StartPercent returns the throttle percentage at which a task should start on
// a worker.
func StartPercent(v WorkerView, t Task, o Options, p Predictor) uint32 {
	d := decision{view: &v, options: &o, predictor: p}
	return d.ceiling(&t)
}

// ceiling returns the highest throttle percentage at which a task is not
// predicted to push the pressure of a service above Options.PeakPressure, or
// Options.MinPercent if there is none.
func (d *decision) ceiling(t *Task) uint32 {
	peak := 0.0
	for i := range d.view.Services {
		s := &d.view.Services[i]
		effect := d.predictor.PredictWorkload(s.Class, t.Class, t.Key.Workload, d.view.Load)
		peak = max(peak, effect.Upper(d.options.PeakStd)/(d.limit(s)-1))
	}
	for _, percent := range [...]uint32{FullSpeed, d.options.MiddlePercent} {
		if peak*float64(percent)/FullSpeed <= d.options.PeakPressure {
			return percent
		}
	}
	return d.options.MinPercent
}

// throttlePredicted throttles the task with the lowest ceiling among those that
// run above theirs.
func (d *decision) throttlePredicted() (Action, bool) {
	var best *Task
	var bestPercent uint32
	for i := range d.view.Batch {
		t := &d.view.Batch[i]
		if t.Stopping {
			continue
		}
		percent := d.ceiling(t)
		if percent >= t.Percent {
			continue
		}
		if best == nil || percent < bestPercent || (percent == bestPercent && taskLess(t, best)) {
			best, bestPercent = t, percent
		}
	}
	if best == nil {
		return Action{}, false
	}
	return newAction(Throttle, d.view.Worker, best, bestPercent, PredictedSlowdown), true
}
