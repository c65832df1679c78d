package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/guavarill/guavarill/standin/process"
)

// series is planned work that takes several seconds, concurrently with the faults and
// the other series. It ends early if its context ends.
type series struct {
	name string
	play func(ctx context.Context, d *deployment, rnd *rand.Rand)
}

// plannedSeries are the series of every run. They run concurrently.
var plannedSeries = []series{
	{"workers replaced in turn", replaceWorkers},
	{"daemons restarted in turn", restartDaemons},
}

// series returns the series of a run.
func (o Options) series() []series {
	list := slices.Clone(plannedSeries)
	if o.Large {
		list = append(list, series{"configuration grows", growConfig})
	}
	if o.Restarting {
		list = append(list, series{"workers start again under their ids", restartWorkers})
	}
	if o.Cordoning {
		list = append(list, series{"zones cordoned", cordonZones})
	}
	if o.Late {
		list = append(list, series{"acceptances late", lateAcceptances})
	}
	return list
}

// rolls is how often a series replaces all workers: two rounds take longer than the
// leases of the first workers to leave.
const rolls = 2

// replaceWorkers replaces all workers one after the other, the oldest first, like the
// rollout of a new version. Several leave at a time, because each keeps running for a
// moment after it has announced its end.
func replaceWorkers(ctx context.Context, d *deployment, rnd *rand.Rand) {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for range rolls * workerCount {
		if ctx.Err() != nil {
			return
		}
		id := d.replaceOldest()
		stay := between(rnd, 1500, 3000)
		leaving.Go(func() {
			time.Sleep(stay)
			d.leave(id)
		})
		pause(ctx, between(rnd, 400, 1000))
	}
}

// replaceOldest adds a worker, then announces the end of the oldest one and returns its
// id.
func (d *deployment) replaceOldest() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.listed[0]
	d.replace(id)
	return id
}

// restartDaemons restarts all daemons in turn, and the leader after each one, so that
// the leader changes more often than the leases of an earlier leader end. The next
// restart begins before the previous daemon is ready again, because a daemon takes
// longer to stop than the shortest terms of a leader should last.
func restartDaemons(ctx context.Context, d *deployment, rnd *rand.Rand) {
	var restarting sync.WaitGroup
	defer restarting.Wait()
	for _, p := range d.daemons {
		d.beginRestart(ctx, &restarting, p)
		pause(ctx, between(rnd, 900, 1600))
		if leader := d.leader(); leader != nil {
			d.beginRestart(ctx, &restarting, leader)
			pause(ctx, between(rnd, 900, 1600))
		}
	}
}

// beginRestart begins the planned restart of a daemon, unless one is in progress or ctx
// has ended.
func (d *deployment) beginRestart(ctx context.Context, restarting *sync.WaitGroup, p *process.Process) {
	if ctx.Err() != nil || !p.Restarting.TryLock() {
		return
	}
	restarting.Go(func() {
		defer p.Restarting.Unlock()
		d.stop(p)
		d.must(p.Start())
	})
}
