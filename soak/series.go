package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// series is planned work that goes on for several seconds, beside the faults and
// the other series. It ends early with its context.
type series struct {
	name string
	play func(ctx context.Context, d *deployment, rnd *rand.Rand)
}

// plannedSeries are the ones that are played, at the same time.
var plannedSeries = []series{
	{"workers replaced in turn", replaceWorkers},
	{"daemons restarted in turn", restartDaemons},
}

// series returns those that a run plays.
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
	return list
}

// rolls is how often a series replaces all workers: with twice it goes on for
// longer than the leases of the first ones to leave.
const rolls = 2

// replaceWorkers replaces all workers one after the other, the one that has been
// there longest first, as when a new version is rolled out. Several leave at a
// time, since each stays a moment after it has said so.
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

// replaceOldest says that the worker leaves which has been there longest, once
// another one is there, and returns its id.
func (d *deployment) replaceOldest() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.listed[0]
	d.replace(id)
	return id
}

// restartDaemons restarts all daemons in turn, and after each one the leader, so
// that the lead changes more often than the leases end that a leader gave. The
// next restart begins before the last daemon is back, since a daemon takes longer
// to stop than the shortest terms are to be.
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

// beginRestart begins to restart a daemon in the planned way, unless it is being
// restarted so or ctx has ended.
func (d *deployment) beginRestart(ctx context.Context, restarting *sync.WaitGroup, p *process) {
	if ctx.Err() != nil || !p.restarting.TryLock() {
		return
	}
	restarting.Go(func() {
		defer p.restarting.Unlock()
		d.stop(p)
		d.must(p.start())
	})
}
