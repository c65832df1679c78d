package soak

import (
	"context"
	"sync"
)

const (
	// floodLeast and floodMost bound the time between two jobs of a flood, in
	// milliseconds: together several times as many as the workers can run.
	floodLeast, floodMost = 5, 25
)

// flood submits more jobs than the workers can run until ctx ends, and polls the states
// of those that are accepted until calling ends.
func (c *caller) flood(ctx, calling context.Context) {
	var following sync.WaitGroup
	for ctx.Err() == nil {
		c.submitNext(calling, &following)
		pause(ctx, between(c.rnd, floodLeast, floodMost))
	}
	following.Wait()
}
