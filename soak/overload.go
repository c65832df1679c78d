package soak

import (
	"context"
	"sync"
	"time"
)

const (
	// floodLeast and floodMost bound the time between two jobs of a flood, in
	// milliseconds: on average 66 jobs of 5 tasks a second, twice as many as the workers
	// can run.
	floodLeast, floodMost = 5, 25
	// floodAfter is how much longer a flood goes on while none of its jobs was rejected.
	// Leaders that follow each other quickly reject none.
	floodAfter = 10 * time.Second
)

// flood submits more jobs than the workers can run until ctx ends, and for up to floodAfter
// longer until one was rejected. It polls the states of those that are accepted until
// calling ends.
func (c *caller) flood(ctx, calling context.Context) {
	var following sync.WaitGroup
	end, _ := ctx.Deadline()
	longest, stop := context.WithDeadline(calling, end.Add(floodAfter))
	defer stop()
	for ctx.Err() == nil || longest.Err() == nil && !c.rejected.Load() {
		c.submitNext(calling, &following)
		pause(longest, between(c.rnd, floodLeast, floodMost))
	}
	following.Wait()
}
