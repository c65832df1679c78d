package eviction

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// State is what Decide keeps of a worker from one call to the next.
type State struct {
	// LastAction is the time of the latest action, or zero if there was none.
	LastAction time.Time
	// LastMeasured is the time of the latest measurement that was counted.
	LastMeasured time.Time
	// OverCount is the number of consecutive measurements over the limit, and
	// OverSince the time of the first of them.
	OverCount int
	OverSince time.Time
	// CalmSince is the time from which on the services have been calm, or zero
	// if they are not calm.
	CalmSince time.Time
	// CalmFor is the calm period required before the next unthrottle. If it is
	// shorter than Options.CalmFor, that applies.
	CalmFor time.Duration
	// Unthrottled is the time at which a task was last unthrottled.
	Unthrottled time.Time
}

// Decide returns the action to take on one worker, if any, and the worker's new
// state. It is a pure function of its arguments.
func Decide(now time.Time, v WorkerView, previous State, o Options, p Predictor) ([]Action, State) {
	d := decision{now: now, view: &v, state: previous, options: &o, predictor: p}
	d.countMeasurements()
	if !previous.LastAction.IsZero() && now.Before(previous.LastAction.Add(o.ReportLag)) {
		return nil, d.state
	}
	action, ok := d.chooseAction()
	if !ok {
		return nil, d.state
	}
	d.updateState(action)
	return []Action{action}, d.state
}

type decision struct {
	now       time.Time
	view      *WorkerView
	state     State
	options   *Options
	predictor Predictor
	// pressure is the highest pressure in the measurements made after the
	// latest action had settled. It is valid only if fresh is true.
	pressure float64
	fresh    bool
}

// countMeasurements processes new measurements that were made after the latest
// action had settled. It sets the pressure, and updates the state if at least
// one of them was not counted before.
func (d *decision) countMeasurements() {
	settled := d.state.LastAction
	if !settled.IsZero() {
		settled = settled.Add(d.options.SettleTime)
	}
	newest := d.state.LastMeasured
	counted := false
	for i := range d.view.Services {
		s := &d.view.Services[i]
		if !s.MeasuredAt.After(settled) {
			continue
		}
		d.fresh = true
		d.pressure = max(d.pressure, d.pressureOf(s))
		if s.MeasuredAt.After(newest) {
			newest, counted = s.MeasuredAt, true
		}
	}
	if !counted {
		return
	}
	d.state.LastMeasured = newest
	d.countPressure(newest)
}

func (d *decision) countPressure(measured time.Time) {
	m := &d.state
	if d.pressure > 1 {
		if m.OverCount == 0 {
			m.OverSince = measured
		}
		m.OverCount++
	} else {
		m.OverCount = 0
	}
	switch {
	case d.pressure > d.options.CalmPressure:
		m.CalmSince = time.Time{}
	case m.CalmSince.IsZero():
		m.CalmSince = measured
	}
}

func (d *decision) pressureOf(s *Service) float64 {
	return (s.Slowdown - 1) / (d.limit(s) - 1)
}

func (d *decision) limit(s *Service) float64 {
	if s.Limit > 1 {
		return s.Limit
	}
	return d.options.Limit
}

// chooseAction returns the action for the most urgent problem, in this order:
// shortages, a slowdown over the limit, a predicted slowdown. If there is none,
// a throttled task may be unthrottled.
func (d *decision) chooseAction() (Action, bool) {
	if action, ok := d.relieveShortage(); ok {
		return action, true
	}
	if len(d.view.Services) == 0 {
		return d.unthrottleOne(NoServiceToSlow)
	}
	if !d.fresh {
		return Action{}, false
	}
	if d.mustRelieve() {
		return d.relieveSlowdown()
	}
	if action, ok := d.throttlePredicted(); ok {
		return action, true
	}
	if d.isCalm() {
		return d.unthrottleOne(CalmServices)
	}
	return Action{}, false
}

func (d *decision) mustRelieve() bool {
	if d.state.OverCount >= d.options.ConfirmCount {
		return true
	}
	return d.state.OverCount > 0 && d.pressure >= d.options.SeverePressure
}

func (d *decision) isCalm() bool {
	since := d.state.CalmSince
	return !since.IsZero() && d.now.Sub(since) >= d.calmFor()
}

func (d *decision) calmFor() time.Duration {
	return max(d.options.CalmFor, d.state.CalmFor)
}

// updateState records an action in the worker's state.
func (d *decision) updateState(a Action) {
	m := &d.state
	switch a.Kind {
	case Unthrottle:
		m.Unthrottled = d.now
		m.CalmSince = time.Time{}
	case Throttle:
		if a.Reason == SlowedService {
			d.adaptCalm()
		}
	}
	m.LastAction = d.now
	m.OverCount = min(m.OverCount, d.options.ConfirmCount-1)
}

// adaptCalm doubles the required calm period when a throttle follows soon after
// an unthrottle, and resets it otherwise. Without this, a task with periodic
// noisy phases would be throttled and unthrottled once per report lag, and
// would slow the services each time.
func (d *decision) adaptCalm() {
	m := &d.state
	if !m.Unthrottled.IsZero() && d.now.Sub(m.Unthrottled) < 2*d.calmFor() {
		m.CalmFor = min(2*d.calmFor(), d.options.MaxCalmFor)
		return
	}
	m.CalmFor = d.options.CalmFor
}

// taskLess orders tasks of equal merit by key, so that a decision does not
// depend on the order of the tasks in the view.
func taskLess(a, b *Task) bool { return a.Key.Less(b.Key) }

func newAction(kind Kind, worker model.WorkerID, t *Task, percent uint32, reason Reason) Action {
	return Action{Kind: kind, Worker: worker, Task: t.Key, Percent: percent, Reason: reason}
}
