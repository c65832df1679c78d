package eviction

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Controller decides for many workers and remembers, for each, what the
// decisions depend on.
type Controller struct {
	options   Options
	predictor Predictor
	states    map[model.WorkerID]State
}

// NewController returns a controller that has seen no worker.
func NewController(o Options, p Predictor) *Controller {
	return &Controller{options: o, predictor: p, states: make(map[model.WorkerID]State)}
}

// Decide returns what to do on a worker now: nothing or one action. The caller
// carries it out; one that fails is decided again after the lag, if the
// evidence is still there.
func (c *Controller) Decide(now time.Time, v WorkerView) []Action {
	actions, state := Decide(now, v, c.states[v.Worker], c.options, c.predictor)
	c.states[v.Worker] = state
	return actions
}

// RecordPreemption records that tasks were evicted from a worker by other means than
// Decide, so that measurements from before are not acted on.
func (c *Controller) RecordPreemption(now time.Time, w model.WorkerID) {
	state := c.states[w]
	state.LastAction = now
	c.states[w] = state
}

// Forget drops a worker that is gone.
func (c *Controller) Forget(w model.WorkerID) { delete(c.states, w) }
