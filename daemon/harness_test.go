package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/standin/store"
	standin "github.com/guavarill/guavarill/standin/worker"
)

const (
	step        = 100 * time.Millisecond
	clusterName = "proof"
)

// cluster is a whole system that runs in the test's goroutine: daemons,
// workers, the store and the list of VMs under one clock that the test moves.
type cluster struct {
	t       *testing.T
	clock   *store.ManualClock
	start   time.Time
	store   *store.Server
	vms     vmTable
	agents  map[string]*standin.Agent
	all     []*standin.Agent
	silent  map[model.WorkerID]bool
	targets *targets
	nodes   []*node
	// cut holds pairs of names, in either order, that do not reach each other.
	cut map[[2]string]bool
	// jobs are the calls and events of all daemons, in the order in which
	// they came up.
	jobs []job
	// answerAfter is set by a call whose failure is noticed only later.
	answerAfter time.Duration
	// ended holds the time lines of daemons that were killed.
	ended [][]timeline.Event
}

// job is a call to make, or with a nil call an event to take.
type job struct {
	n    *node
	due  time.Time
	call func() event
	ev   event
}

// newCluster starts a cluster of daemons, which are named d1, d2 and so on in
// as many zones, and workers w1, w2 and so on, two to a rack.
func newCluster(t *testing.T, daemons, workers int) *cluster {
	// Requests' deadlines are by this clock, and the contexts that end with
	// them by the machine's: this one is far ahead, so that none ends early.
	start := time.Date(2100, 3, 1, 9, 0, 0, 0, time.UTC)
	clock := store.NewManualClock(start)
	c := &cluster{
		t:       t,
		clock:   clock,
		start:   start,
		store:   store.New(store.Options{Clock: clock}),
		agents:  make(map[string]*standin.Agent),
		silent:  make(map[model.WorkerID]bool),
		targets: newTargets(),
		cut:     make(map[[2]string]bool),
	}
	for i := range workers {
		c.addWorker(i+1, model.Resources{MilliCPU: 8000, MemoryMB: 16000})
	}
	for i := range daemons {
		c.startDaemon(fmt.Sprintf("d%d", i+1), zone(i))
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.cancel()
		}
	})
	return c
}

func zone(i int) model.Zone { return model.Zone(fmt.Sprintf("z%d", i%3+1)) }

func (c *cluster) addWorker(i int, capacity model.Resources) {
	vm := model.VM{
		ID:       model.WorkerID(fmt.Sprintf("w%d", i)),
		Role:     model.RoleWorker,
		State:    model.VMLive,
		Zone:     zone((i - 1) / 2),
		Rack:     model.Rack(fmt.Sprintf("r%d", (i-1)/2)),
		Capacity: capacity,
		Address:  fmt.Sprintf("w%d:1", i),
	}
	agent := standin.New(standin.Options{
		ID:           vm.ID,
		Capacity:     capacity,
		Clock:        c.clock,
		UsageLag:     5 * time.Second,
		Pairs:        standin.Pairs{{Victim: "web", Noisy: "noisy"}: 3},
		StartService: c.targets.start,
	})
	c.agents[vm.Address] = agent
	c.all = append(c.all, agent)
	c.vms.set(vm)
}

func (c *cluster) agent(id string) *standin.Agent { return c.agents[id+":1"] }

func (c *cluster) startDaemon(id string, z model.Zone) *node {
	n := newNode(c, id, z)
	c.nodes = append(c.nodes, n)
	c.vms.set(model.VM{
		ID: model.WorkerID(id), Role: model.RoleEntry, State: model.VMLive, Zone: z, Address: address(id),
	})
	return n
}

// kill ends a daemon without a word.
func (c *cluster) kill(id string) {
	n := c.node(id)
	n.dead = true
	n.cancel()
	c.ended = append(c.ended, n.ring.All())
}

// restart begins a new incarnation of a killed daemon.
func (c *cluster) restart(id string) *node {
	for _, n := range c.nodes {
		if n.id == id {
			return c.startDaemon(id, n.o.Identity.Zone)
		}
	}
	c.t.Fatalf("no daemon %s", id)
	return nil
}

// cutPeers cuts the connections between all daemons.
func (c *cluster) cutPeers() {
	for i, a := range c.nodes {
		for _, b := range c.nodes[i+1:] {
			c.cut[[2]string{a.id, b.id}] = true
		}
	}
}

func (c *cluster) isCut(a, b string) bool { return c.cut[[2]string{a, b}] || c.cut[[2]string{b, a}] }

// step lets one tick pass everywhere.
func (c *cluster) step() {
	c.clock.Advance(step)
	c.store.Tick()
	for _, a := range c.all {
		a.Advance()
	}
	for _, n := range c.nodes {
		n.handle(tick{})
		n.pollWatches()
		c.drain()
	}
}

// drain makes the calls and takes the events that are due, in order. Those of
// a paused daemon wait.
func (c *cluster) drain() {
	for i := 0; i < len(c.jobs); {
		j := c.jobs[i]
		if !j.n.dead && (j.n.paused || j.due.After(c.clock.Now())) {
			i++
			continue
		}
		c.jobs = append(c.jobs[:i:i], c.jobs[i+1:]...)
		c.run(j)
		i = 0
	}
}

func (c *cluster) run(j job) {
	if j.n.dead {
		return
	}
	if j.call == nil {
		j.n.control.handle(j.ev)
		return
	}
	c.answerAfter = 0
	ev := j.call()
	if ev != nil {
		c.jobs = append(c.jobs, job{n: j.n, due: c.clock.Now().Add(c.answerAfter), ev: ev})
	}
}

// pass lets time pass.
func (c *cluster) pass(d time.Duration) {
	for end := c.clock.Now().Add(d); c.clock.Now().Before(end); {
		c.step()
	}
}

// until lets time pass, at most limit, until the condition holds.
func (c *cluster) until(what string, limit time.Duration, holds func() bool) {
	c.t.Helper()
	for end := c.clock.Now().Add(limit); !holds(); c.step() {
		if c.clock.Now().After(end) {
			c.t.Fatalf("after %s: not yet %s\n%s", limit, what, c.timeline())
		}
	}
}

// apply sends a manifest through a daemon and waits for the result.
func (c *cluster) apply(id string, request config.ApplyRequest) config.ApplyResult {
	c.t.Helper()
	reply := make(chan config.ApplyResult, 1)
	c.node(id).deliver(applyRequested{request: request, reply: reply})
	c.until("apply answered", time.Minute, func() bool { return len(reply) > 0 })
	return <-reply
}

// declare applies the workloads and demands that they are accepted.
func (c *cluster) declare(id string, workloads ...manifest.Workload) {
	c.t.Helper()
	result := c.apply(id, manifestOf(fmt.Sprintf("%s-%d", id, c.clock.Now().UnixNano()), workloads...))
	if _, accepted := result.(config.ApplyAccepted); !accepted {
		c.t.Fatalf("apply: %#v", result)
	}
}

// runFrontAndJob declares the service "front" with a number of tasks and the batch
// workload "job" with six tasks of a run time, and waits until all of them run.
func (c *cluster) runFrontAndJob(frontTasks int, jobRunTime time.Duration) {
	c.t.Helper()
	c.declare("d1", service("front", frontTasks, 1000), batch("job", 6, 1000, jobRunTime))
	c.until("job runs", time.Minute, c.inState("job", ledger.Running, 6))
	c.until("service runs", time.Minute, c.inState("front", ledger.Running, frontTasks))
}

func manifestOf(writer string, workloads ...manifest.Workload) config.ApplyRequest {
	m := &manifest.Manifest{Cluster: clusterName, Teams: []manifest.Team{{Name: "team"}}, Workloads: workloads}
	return config.ApplyRequest{Manifest: m.Normalised(), Writer: writer}
}

func service(name string, tasks int, milliCPU int64) manifest.Workload {
	return manifest.Workload{
		Name: name, Team: "team", Kind: model.KindService, Class: "web", Tasks: tasks,
		Size:  model.Resources{MilliCPU: milliCPU, MemoryMB: 1000},
		Slots: 8, Connections: 60, Timeout: manifest.Duration(5 * time.Second),
	}
}

func batch(name string, tasks int, milliCPU int64, run time.Duration) manifest.Workload {
	return manifest.Workload{
		Name: name, Team: "team", Kind: model.KindBatch, Class: "plain", Tasks: tasks,
		Size:    model.Resources{MilliCPU: milliCPU, MemoryMB: 1000},
		RunTime: manifest.Duration(run),
	}
}

// ready waits until the daemons know each other and the shards have owners.
func (c *cluster) ready() {
	c.t.Helper()
	c.until("all shards owned", 2*time.Minute, func() bool {
		for _, n := range c.nodes {
			if n.dead || n.control.topology == nil || n.control.topology.ShardCount() == 0 {
				continue
			}
			for id := range n.control.topology.ShardCount() {
				if c.owner(model.ShardID(id)) == nil {
					return false
				}
			}
			return true
		}
		return false
	})
	c.pass(20 * time.Second)
}
