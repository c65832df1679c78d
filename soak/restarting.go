package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// restartWorkers has some workers end without a word and start again under their ids,
// at once or after a while, several at a time.
func restartWorkers(ctx context.Context, d *deployment, rnd *rand.Rand) {
	for ctx.Err() == nil {
		d.disturb(fault{name: "workers start again", play: restartSome}, rnd)
		pause(ctx, between(rnd, 100, 1500))
	}
}

func restartSome(d *deployment, rnd *rand.Rand) {
	down := make([]string, 0, 3)
	for range 1 + rnd.IntN(3) {
		if id := d.stopWorker(rnd); id != "" {
			down = append(down, id)
		}
		time.Sleep(between(rnd, 0, 300))
	}
	if rnd.IntN(2) == 0 {
		time.Sleep(between(rnd, 10, returnMost))
	}
	for _, id := range down {
		d.restartWorker(id)
	}
}

// stopWorker ends a worker that is to stay, and returns its id, or none if too few
// would be left. Its entry stays.
func (d *deployment) stopWorker(rnd *rand.Rand) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.listed)-len(d.down) <= workersKept {
		return ""
	}
	id := pick(rnd, d.listed)
	d.down[id] = true
	d.site.Workers[id].Stop()
	return id
}

// restartWorker has a worker start again that was stopped, unless it has been lost
// since.
func (d *deployment) restartWorker(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.down, id)
	for _, listed := range d.listed {
		if listed == id {
			d.site.Restart(id)
			return
		}
	}
}
