package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/port"
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

func address(id string) string { return id + ":7" }

// node returns the running daemon of a name, nil when there is none.
func (c *cluster) node(id string) *node {
	for _, n := range c.nodes {
		if n.id == id && !n.dead {
			return n
		}
	}
	return nil
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
		n.pollFollows()
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

// events returns the time line of the whole session so far.
func (c *cluster) events(more ...[]timeline.Event) []timeline.Event {
	lists := append(more, c.ended...)
	for _, n := range c.nodes {
		if !n.dead {
			lists = append(lists, n.ring.All())
		}
	}
	return timeline.Merge(lists...)
}

func (c *cluster) timeline(more ...[]timeline.Event) string {
	var b bytes.Buffer
	if err := timeline.Format(&b, c.events(more...)); err != nil {
		c.t.Fatal(err)
	}
	return b.String()
}

// happened counts the events of a kind about a subject; "" is any.
func (c *cluster) happened(kind timeline.Kind, subject string) int {
	count := 0
	for _, e := range c.events() {
		if e.Kind == kind && (subject == "" || e.Subject == subject) {
			count++
		}
	}
	return count
}

// audit checks the records of all workers.
func (c *cluster) audit() {
	c.t.Helper()
	for _, v := range standin.Audit(c.all...) {
		c.t.Errorf("%s", v)
	}
	if c.t.Failed() {
		c.t.Log("\n" + c.timeline())
	}
}

// owner returns the daemon that owns a shard by its own belief, the latest
// epoch winning; nil when there is none.
func (c *cluster) owner(id model.ShardID) *node {
	var owner *node
	for _, n := range c.nodes {
		s := n.control.shards[id]
		if n.dead || s == nil || !s.loaded {
			continue
		}
		if owner == nil || s.epoch > owner.control.shards[id].epoch {
			owner = n
		}
	}
	return owner
}

// tasks returns the committed tasks of a workload, by key.
func (c *cluster) tasks(workload string) []ledger.Task {
	var list []ledger.Task
	seen := make(map[model.TaskKey]bool)
	for _, n := range c.nodes {
		for _, id := range n.control.sortedShards() {
			if c.owner(id) != n {
				continue
			}
			for t := range n.control.shards[id].ledger.Contents().Tasks() {
				if t.Key.Workload == workload && t.State != ledger.Moved {
					if seen[t.Key] {
						c.t.Errorf("%s lives in two ledgers", t.Key)
					}
					seen[t.Key] = true
					list = append(list, t)
				}
			}
		}
	}
	return list
}

// home returns the shard that holds the workload's first task, and its owner.
func (c *cluster) home(workload string) (model.ShardID, *node) {
	for _, n := range c.nodes {
		for _, id := range n.control.sortedShards() {
			if c.owner(id) != n {
				continue
			}
			for t := range n.control.shards[id].ledger.Contents().Tasks() {
				if t.Key.Workload == workload && t.Key.Index == 0 && t.State != ledger.Moved {
					return id, n
				}
			}
		}
	}
	c.t.Fatalf("%s has no owner", workload)
	return 0, nil
}

// runs returns all runs of a workload's tasks on all workers.
func (c *cluster) runs(workload string) []standin.Run {
	var list []standin.Run
	for _, a := range c.all {
		for _, r := range a.Runs() {
			if key, ok := model.ParseTaskKey(r.Task); ok && key.Workload == workload {
				list = append(list, r)
			}
		}
	}
	return list
}

// ranOnce demands that each of n tasks ran exactly once.
func (c *cluster) ranOnce(workload string, n int) {
	c.t.Helper()
	if runs := c.runs(workload); len(runs) != n {
		c.t.Errorf("%s: %d runs of %d tasks: %+v", workload, len(runs), n, runs)
	}
}

// inState reports whether n tasks of the workload are in a state.
func (c *cluster) inState(workload string, state ledger.State, n int) func() bool {
	return func() bool {
		count := 0
		for _, t := range c.tasks(workload) {
			if t.State == state {
				count++
			}
		}
		return count == n
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

// node is one daemon, and the executor of its control loop.
type node struct {
	c       *cluster
	id      string
	o       Options
	control *control
	homes   *homes
	ring    *timeline.Ring
	follows []*followed
	paused  bool
	dead    bool
	cancel  context.CancelFunc
	store   *nodeStore
	workers *nodeWorkers
}

// followed is one watch that a daemon reads.
type followed struct {
	ctx    context.Context
	events <-chan port.WatchEvent
	take   func(port.WatchEvent) bool
	end    event
}

func newNode(c *cluster, id string, z model.Zone) *node {
	n := &node{c: c, id: id}
	n.store = &nodeStore{Local: c.store.Local(), n: n, lists: make(map[string]int)}
	n.workers = &nodeWorkers{n: n}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.o = DefaultOptions(
		Identity{Cluster: clusterName, ID: model.DaemonID(id), Zone: z, PeerAddress: address(id), Started: c.clock.Now()},
		Ports{
			Store: n.store, Workers: n.workers, VMs: &nodeVMs{n}, Peers: &nodePeers{n},
			Target: c.targets, Clock: c.clock,
		},
	)
	n.o.Logger = log
	n.o.Seed = uint64(id[len(id)-1])
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.homes = newHomes(n.o.Identity, n.o.Ports, n.o.Dedup)
	n.ring = timeline.NewRing(id, n.o.TimelineEvents)
	n.control = newControl(ctx, &n.o, n, newEngine(&n.o, n.homes, n), n.homes, newMetrics(), n.ring)
	n.control.record(timeline.Event{Kind: timeline.DaemonStarted})
	return n
}

// handle has the control loop take an event, unless the daemon is paused.
func (n *node) handle(ev event) {
	if !n.paused && !n.dead {
		n.control.handle(ev)
	}
}

func (n *node) start(call func() event) {
	n.c.jobs = append(n.c.jobs, job{n: n, call: call})
}

func (n *node) deliver(ev event) { n.c.jobs = append(n.c.jobs, job{n: n, ev: ev}) }

// follow opens the watch in its turn; pollFollows reads it.
func (n *node) follow(open openWatch, take func(port.WatchEvent) bool, end event) {
	n.start(func() event {
		events, err := open()
		if err != nil {
			return end
		}
		n.follows = append(n.follows, &followed{ctx: n.store.watching, events: events, take: take, end: end})
		return nil
	})
}

// pollFollows takes what the watches report at this moment.
func (n *node) pollFollows() {
	if n.paused || n.dead {
		return
	}
	open := n.follows
	n.follows = nil
	for _, f := range open {
		if f.goesOn() {
			n.follows = append(n.follows, f)
		} else {
			n.deliver(f.end)
		}
	}
}

func (f *followed) goesOn() bool {
	for f.ctx.Err() == nil {
		select {
		case ev, more := <-f.events:
			if !more || !f.take(ev) {
				return false
			}
		default:
			return true
		}
	}
	return false
}

// exchange answers another daemon.
func (n *node) exchange(req *peerv1.ExchangeRequest) *peerv1.ExchangeResponse {
	reply := make(chan *peerv1.ExchangeResponse, 1)
	n.control.handle(exchangeRequested{req: req, reply: reply})
	return <-reply
}
