package eviction

// A loud phase is seen only a report lag after it began. For a task that could
// push a service far over its limit by itself that is too late each time, so
// it is not let run at full speed next to the service in the first place.

// StartPercent returns the throttle at which a task should start on a worker.
func StartPercent(v WorkerView, t Task, o Options, p Predictor) uint32 {
	d := decision{view: &v, options: &o, predictor: p}
	return d.ceiling(&t)
}

// ceiling returns the highest step at which a task is not predicted to push a
// service beyond Options.Peak.
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

// throttlePredicted throttles the task that runs furthest above its ceiling.
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
