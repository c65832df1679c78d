package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// crashingLeast and crashingMost bound the time between two jobs that crash their workers, in
	// milliseconds.
	crashingLeast, crashingMost = 1500, 4000
	// returnLeast and returnMost bound the time that a worker takes to restart after a
	// crash, in milliseconds.
	returnLeast, returnMost = 500, 2500
)

// crash submits jobs that crash their workers until ctx ends, and polls their states
// until calling ends.
func (c *caller) crash(ctx, calling context.Context) {
	var following sync.WaitGroup
	for ctx.Err() == nil {
		j := &submitted{id: c.nextID(), steps: []int{1}, crashing: true}
		c.jobs = append(c.jobs, j)
		rnd := rand.New(rand.NewPCG(c.rnd.Uint64(), 0))
		following.Go(func() {
			if !c.submit(calling, j, rnd) {
				return
			}
			for calling.Err() == nil && j.final == "" {
				time.Sleep(lookEvery)
				c.look(rnd, j)
			}
		})
		pause(ctx, between(c.rnd, crashingLeast, crashingMost))
	}
	following.Wait()
}

// workersKept is how many workers stay: with fewer a crashed one is back at once.
const workersKept = 2

// crashed ends a worker that a task has crashed, and starts another incarnation of it
// unless the worker was already leaving.
func (d *deployment) crashed(id string) {
	s := beginSpan()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.site.LoseWorker(id)
	d.unplanned = append(d.unplanned, s)
	defer s.end()
	if !slices.Contains(d.listed, id) {
		return
	}
	d.unlist(id)
	d.returns++
	next := fmt.Sprintf("%s.%d", id, d.returns)
	if d.keepIDs && d.returns%2 == 0 {
		next = id
	}
	if len(d.listed) >= workersKept {
		rnd := rand.New(rand.NewPCG(uint64(d.returns), 0))
		d.mu.Unlock()
		time.Sleep(between(rnd, returnLeast, returnMost))
		d.mu.Lock()
	}
	d.site.Return(id, next)
	d.workerWays[next] = d.workerWays[id]
	d.listed = append(d.listed, next)
	d.stays[next] = beginSpan()
}
