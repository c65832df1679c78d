package eviction

// relieveSlowdown throttles the task whose throttle gives the most relief for
// its cost. It evicts a task only if no throttle is worthwhile and the slowdown
// has lasted for Options.EvictionDelay.
func (d *decision) relieveSlowdown() (Action, bool) {
	if t, percent := d.bestThrottle(); t != nil {
		return newAction(Throttle, d.view.Worker, t, percent, SlowedService), true
	}
	if d.now.Sub(d.state.OverSince) < d.options.EvictionDelay {
		return Action{}, false
	}
	if t := d.bestEviction(); t != nil {
		return newAction(Evict, d.view.Worker, t, 0, SlowedService), true
	}
	return Action{}, false
}

// bestThrottle returns the task to throttle and its new percentage, or nil if
// no throttle is worthwhile.
func (d *decision) bestThrottle() (*Task, uint32) {
	var best *Task
	var bestMerit float64
	var bestPercent uint32
	for i := range d.view.Batch {
		t := &d.view.Batch[i]
		percent, ok := d.lowerPercent(t)
		if !ok {
			continue
		}
		relief := d.relief(t) * float64(t.Percent-percent) / FullSpeed
		if relief < d.options.MinRelief*d.excess() {
			continue
		}
		merit := relief / d.options.Costs.ThrottleCost(t)
		if best == nil || merit > bestMerit || (merit == bestMerit && taskLess(t, best)) {
			best, bestMerit, bestPercent = t, merit, percent
		}
	}
	return best, bestPercent
}

// lowerPercent returns the next lower throttle percentage of a task, which is
// Options.MinPercent at once if the pressure is severe. It returns false if the
// task cannot be throttled further.
func (d *decision) lowerPercent(t *Task) (uint32, bool) {
	if t.Stopping || t.Percent <= d.options.MinPercent {
		return 0, false
	}
	if t.Percent > d.options.MiddlePercent && d.pressure < d.options.SeverePressure {
		return d.options.MiddlePercent, true
	}
	return d.options.MinPercent, true
}

// bestEviction returns the task whose eviction gives the most relief for its
// cost, or nil if no eviction is worthwhile.
func (d *decision) bestEviction() *Task {
	var best *Task
	var bestMerit float64
	for i := range d.view.Batch {
		t := &d.view.Batch[i]
		if t.Stopping {
			continue
		}
		relief := d.relief(t) * float64(t.Percent) / FullSpeed
		if relief < d.options.MinRelief*d.excess() {
			continue
		}
		merit := relief / d.options.Costs.EvictionCost(d.now, t)
		if best == nil || merit > bestMerit || (merit == bestMerit && taskLess(t, best)) {
			best, bestMerit = t, merit
		}
	}
	return best
}

// reliefStd is the number of standard deviations added to a task's predicted
// effect. A task of an unknown class is a more likely cause than a task that is
// known to be quiet.
const reliefStd = 1

// relief returns the estimated slowdown that a task at full speed adds to the
// services over their limits, summed over these services.
func (d *decision) relief(t *Task) float64 {
	sum := 0.0
	for i := range d.view.Services {
		s := &d.view.Services[i]
		if d.pressureOf(s) <= 1 {
			continue
		}
		sum += d.predictor.PredictTask(s.Class, t.Class, t.Key, d.view.Load).Upper(reliefStd)
	}
	return sum
}

// excess returns the slowdown above 1 of the services over their limits, summed
// over these services.
func (d *decision) excess() float64 {
	sum := 0.0
	for i := range d.view.Services {
		s := &d.view.Services[i]
		if d.pressureOf(s) > 1 {
			sum += s.Slowdown - 1
		}
	}
	return sum
}
