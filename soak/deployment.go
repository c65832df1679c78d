package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	standin "github.com/guavarill/guavarill/standin/platform"
	"github.com/guavarill/guavarill/standin/process"
)

const (
	// daemonCount and workerCount are the least with which every fault leaves
	// some of each at work.
	daemonCount = 4
	workerCount = 6
	// leaderKey is where the daemons write who leads.
	leaderKey = "guavarill/leader"
)

// The flags of daemons that reject jobs which by the forecast cannot be served in time,
// and that start copies of slow tasks.
const (
	rejectByForecast = "--reject-hopeless-jobs"
	copyStragglers   = "--copy-stragglers"
)

// taskTimes are the run times of the workers' tasks, and longTaskTimes those in runs with more
// jobs than the workers can run: six workers of 16 cores run 160 tasks of a core a second then,
// and a flood brings over 300.
var (
	taskTimes     = []time.Duration{60 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond}
	longTaskTimes = []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond}
)

// deployment is the daemons' processes with stand-ins around them.
type deployment struct {
	site      *standin.Site
	daemons   []*process.Process
	storeWays []*proxy
	links     []*standin.Link
	report    *report

	mu         sync.Mutex
	workerWays map[string]*proxy
	// listed are the workers that are there to stay, down those that are about to
	// start again.
	listed []string
	down   map[string]bool
	// keepIDs has every other worker that comes back from a crash do so under its id.
	keepIDs bool
	// taskTimes are the run times of the workers' tasks.
	taskTimes []time.Duration
	// copies is set if some callers' jobs allow copies of slow tasks.
	copies bool
	// stays are the times in which each worker was one of them.
	stays map[string]*span
	added int
	// returns counts the workers that came back from a crash.
	returns int
	queues  []standin.Queue
	// cordons are the times in which each zone was cordoned.
	cordons map[string][]*span
	// unplanned are the times in which a drawn fault was under way.
	unplanned []*span
}

// newDeployment starts everything.
func newDeployment(o Options, r *report) (*deployment, error) {
	d := &deployment{
		site: standin.NewSite(), report: r, workerWays: make(map[string]*proxy), down: make(map[string]bool), keepIDs: o.Restarting, copies: o.Copies, taskTimes: taskTimes,
		stays: make(map[string]*span), cordons: make(map[string][]*span), queues: []standin.Queue{standin.JobsQueue()},
	}
	if o.Overload {
		d.taskTimes = longTaskTimes
	}
	d.site.Configure(d.queues...)
	d.site.OnCrash = d.crashed
	d.mu.Lock()
	for range workerCount {
		d.addWorker()
	}
	d.mu.Unlock()
	for i := range daemonCount {
		target, err := d.linkToStore(o.Large && i%2 == 0)
		if err != nil {
			return d, err
		}
		way, err := newProxy(target)
		if err != nil {
			return d, err
		}
		d.storeWays = append(d.storeWays, way)
		name := fmt.Sprintf("daemon-%d", i+1)
		p, err := process.New(o.Dir, o.Binary, name, d.site.SettingsFile(name, way.address()))
		if err != nil {
			return d, err
		}
		if o.Copies {
			p.Flags = append(p.Flags, copyStragglers)
		}
		if o.Overload {
			p.Flags = append(p.Flags, rejectByForecast)
		}
		d.daemons = append(d.daemons, p)
		if err := p.Start(); err != nil {
			return d, err
		}
	}
	return d, nil
}

// addWorker adds a worker behind a proxy. d.mu is held.
func (d *deployment) addWorker() {
	d.added++
	id := fmt.Sprintf("worker-%d", d.added)
	w := d.site.AddWorkerIn(zoneOf(d.added), id, d.taskTimes[d.added%len(d.taskTimes)])
	way, err := newProxy(w.OwnAddress())
	if err != nil {
		d.must(err)
		return
	}
	w.Address = way.address()
	d.site.List(id)
	d.workerWays[id] = way
	d.listed = append(d.listed, id)
	d.stays[id] = beginSpan()
}

// unlist notes that a worker is on its way out. d.mu is held.
func (d *deployment) unlist(id string) {
	d.listed = slices.DeleteFunc(d.listed, func(other string) bool { return other == id })
	d.stays[id].end()
}

func (d *deployment) workerIDs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.listed)
}

// wayTo returns the proxy before a worker.
func (d *deployment) wayTo(id string) *proxy {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.workerWays[id]
}

// disturb plays a fault and notes when it was under way.
func (d *deployment) disturb(f fault, rnd *rand.Rand) {
	s := beginSpan()
	d.mu.Lock()
	d.unplanned = append(d.unplanned, s)
	d.mu.Unlock()
	f.play(d, rnd)
	d.mu.Lock()
	s.end()
	d.mu.Unlock()
}

// must notes a failure of the soak itself.
func (d *deployment) must(err error) {
	if err != nil {
		d.report.add("the soak failed: %v", err)
	}
}

// leader returns the daemon that leads, nil if none says so.
func (d *deployment) leader() *process.Process {
	for _, p := range d.daemons {
		if p.Running() && p.Leads() {
			return p
		}
	}
	return nil
}

// calm ends all faults and starts what is down.
func (d *deployment) calm() {
	d.site.Store.Refuse(0)
	for _, way := range d.storeWays {
		way.set(pass)
	}
	d.mu.Lock()
	for _, way := range d.workerWays {
		way.set(pass)
	}
	for _, id := range d.listed {
		d.site.List(id)
	}
	d.mu.Unlock()
	for _, p := range d.daemons {
		p.Signal(syscall.SIGCONT)
		d.must(p.Start())
	}
}

func (d *deployment) close() {
	for _, p := range d.daemons {
		p.Close()
	}
	for _, way := range d.storeWays {
		way.close()
	}
	for _, way := range d.workerWays {
		way.close()
	}
	for _, link := range d.links {
		link.Close()
	}
	d.site.Close()
}
