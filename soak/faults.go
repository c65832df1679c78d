package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/guavarill/guavarill/standin/process"
)

// fault is something that goes wrong for a while.
type fault struct {
	name string
	// weight is how often it comes beside the others.
	weight int
	// play makes it happen and returns when it is over.
	play func(d *deployment, rnd *rand.Rand)
}

// faults are drawn from by their weights.
var faults = []fault{
	{"daemon killed", 4, killDaemon},
	{"leader killed", 3, killLeader},
	{"daemon stopped", 2, stopDaemon},
	{"daemon suspended", 3, suspendDaemon},
	{"leader suspended", 2, suspendLeader},
	{"settings reloaded", 1, reloadDaemon},
	{"all daemons killed", 1, killAll},
	{"way to the store disturbed", 5, disturbStore},
	{"store down", 2, storeDown},
	{"leader's lease ended", 2, endLease},
	{"way to a worker disturbed", 5, disturbWorker},
	{"worker lost", 2, loseWorker},
	{"worker drains", 1, drainWorker},
	{"worker missing from the list", 1, unlistWorker},
	{"configuration changed", 3, changeConfig},
}

// drawFault returns a fault by the weights.
func drawFault(rnd *rand.Rand) fault {
	sum := 0
	for _, f := range faults {
		sum += f.weight
	}
	n := rnd.IntN(sum)
	for _, f := range faults {
		if n -= f.weight; n < 0 {
			return f
		}
	}
	panic("no fault drawn")
}

// between returns a duration between two numbers of milliseconds.
func between(rnd *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+rnd.IntN(high-low)) * time.Millisecond
}

func pick[T any](rnd *rand.Rand, list []T) T { return list[rnd.IntN(len(list))] }

func killDaemon(d *deployment, rnd *rand.Rand) {
	p := pick(rnd, d.daemons)
	p.Kill()
	time.Sleep(between(rnd, 1, 3000))
	d.must(p.Start())
}

func killLeader(d *deployment, rnd *rand.Rand) {
	p := d.leader()
	if p == nil {
		p = pick(rnd, d.daemons)
	}
	p.Kill()
	time.Sleep(between(rnd, 1, 4000))
	d.must(p.Start())
}

// stopDaemon stops a daemon in the planned way for a while.
func stopDaemon(d *deployment, rnd *rand.Rand) {
	p := pick(rnd, d.daemons)
	d.stop(p)
	time.Sleep(between(rnd, 1, 1000))
	d.must(p.Start())
}

// stop stops a daemon in the planned way, and expects it to end in the time that
// it has, unless another fault suspends it meanwhile.
func (d *deployment) stop(p *process.Process) {
	paused, before := p.Suspensions()
	p.Signal(syscall.SIGTERM)
	grace := time.Duration(p.Settings.Bounds.GraceS * float64(time.Second))
	if !p.AwaitExit(grace) {
		if _, after := p.Suspensions(); !paused && after == before {
			d.report.add("%s ran on %s after SIGTERM", p.Name, grace)
		}
		p.Kill()
	}
}

func suspendDaemon(d *deployment, rnd *rand.Rand) { suspend(pick(rnd, d.daemons), rnd) }

func suspendLeader(d *deployment, rnd *rand.Rand) {
	if p := d.leader(); p != nil {
		suspend(p, rnd)
	}
}

func suspend(p *process.Process, rnd *rand.Rand) {
	p.Signal(syscall.SIGSTOP)
	time.Sleep(between(rnd, 100, 6000))
	p.Signal(syscall.SIGCONT)
}

func reloadDaemon(d *deployment, rnd *rand.Rand) { pick(rnd, d.daemons).Signal(syscall.SIGHUP) }

func killAll(d *deployment, rnd *rand.Rand) {
	for _, p := range d.daemons {
		p.Kill()
	}
	time.Sleep(between(rnd, 1, 1500))
	for _, p := range d.daemons {
		d.must(p.Start())
	}
}

func disturbStore(d *deployment, rnd *rand.Rand) {
	disturb(pick(rnd, d.storeWays), rnd)
}

func disturbWorker(d *deployment, rnd *rand.Rand) {
	disturb(d.wayTo(pick(rnd, d.workerIDs())), rnd)
}

func disturb(p *proxy, rnd *rand.Rand) {
	p.set(mode(1 + rnd.IntN(int(modeCount)-1)))
	time.Sleep(between(rnd, 200, 5000))
	p.set(pass)
}

func storeDown(d *deployment, rnd *rand.Rand) {
	d.site.Store.Refuse(http.StatusServiceUnavailable)
	time.Sleep(between(rnd, 200, 4000))
	d.site.Store.Refuse(0)
}

func endLease(d *deployment, _ *rand.Rand) { d.site.Store.EndLeaseOf(leaderKey) }

// loseWorker ends a worker without a word, and adds another one.
func loseWorker(d *deployment, rnd *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := pick(rnd, d.listed)
	d.site.LoseWorker(id)
	d.unlist(id)
	d.addWorker()
}

// drainWorker says that a worker leaves, and lets it leave.
func drainWorker(d *deployment, rnd *rand.Rand) {
	d.mu.Lock()
	id := pick(rnd, d.listed)
	d.replace(id)
	d.mu.Unlock()
	time.Sleep(between(rnd, 2000, 5000))
	d.leave(id)
}

// replace says that a worker leaves, once another one is there. d.mu is held.
func (d *deployment) replace(id string) {
	d.addWorker()
	d.unlist(id)
	d.site.Drain(id)
}

// leave lets a worker leave that was replaced.
func (d *deployment) leave(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.site.LoseWorker(id)
}

// unlistWorker takes a worker that runs on off the list for a while, as when
// its entry lapses.
func unlistWorker(d *deployment, rnd *rand.Rand) {
	d.mu.Lock()
	id := pick(rnd, d.listed)
	d.site.Unlist(id)
	d.mu.Unlock()
	time.Sleep(between(rnd, 200, 4000))
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, listed := range d.listed {
		if listed == id {
			d.site.List(id)
		}
	}
}

// changeConfig adds a queue, or takes those away that were added.
func changeConfig(d *deployment, rnd *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if rnd.IntN(3) == 0 {
		d.queues = d.queues[:1]
	} else {
		more := d.queues[0]
		more.Name = fmt.Sprintf("more-%d", rnd.IntN(1000))
		more.Prefix = "/" + more.Name + "/"
		d.queues = append(d.queues, more)
	}
	d.site.Configure(d.queues...)
}
