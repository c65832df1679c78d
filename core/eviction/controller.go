package eviction

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Controller decides for many workers and keeps the State of each. It is not
// safe for concurrent use.
type Controller struct {
	options   Options
	predictor Predictor
	states    map[model.WorkerID]State
}

// NewController returns a controller without any worker state.
func NewController(o Options, p Predictor) *Controller {
	return &Controller{options: o, predictor: p, states: make(map[model.WorkerID]State)}
}

// Decide returns the action to take on a worker now, or none. The caller
// carries it out. An action that fails is decided again after the report lag if
// the measurements still call for it.
func (c *Controller) Decide(now time.Time, v WorkerView) []Action {
	actions, state := Decide(now, v, c.states[v.Worker], c.options, c.predictor)
	c.states[v.Worker] = state
	return actions
}

// RecordPreemption records that tasks were evicted from a worker other than by
// Decide, so that measurements from before the eviction are ignored.
func (c *Controller) RecordPreemption(now time.Time, w model.WorkerID) {
	state := c.states[w]
	state.LastAction = now
	c.states[w] = state
}

// Forget deletes the state of a worker that is gone.
func (c *Controller) Forget(w model.WorkerID) { delete(c.states, w) }
