package membership_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/membership/simnet"
	"github.com/guavarill/guavarill/core/model"
)

const tickEvery = 100 * time.Millisecond

// node is one daemon of a test cluster.
type node struct {
	c *cluster
	// id is the daemon's ID; name identifies this run of it in the network.
	id      string
	name    string
	machine *membership.Machine
	bytes   int
	sent    int
	// removed are the members that this node's view has shown as dead.
	removed map[model.DaemonID]time.Time
	// suspected are the members that it has shown as suspect.
	suspected map[model.DaemonID]time.Time
}

// cluster is a set of daemons that learn each other's addresses from the
// platform's list only.
type cluster struct {
	net   *simnet.Net
	zones int
	list  []model.VM
	// at maps an address to the node that listens on it.
	at    map[string]*node
	nodes []*node
	o     membership.Options
}

func newCluster(size, zones int, seed uint64) *cluster {
	return newClusterWith(size, zones, seed, membership.Options{})
}

func newClusterWith(size, zones int, seed uint64, o membership.Options) *cluster {
	c := &cluster{net: simnet.New(seed), zones: zones, at: make(map[string]*node), o: o}
	for i := range size {
		c.listVM(fmt.Sprintf("d%03d", i), i)
	}
	for i := range size {
		c.start(fmt.Sprintf("d%03d", i), i, c.net.Now())
	}
	return c
}

func (c *cluster) zone(i int) model.Zone { return model.Zone(fmt.Sprintf("z%d", i%c.zones)) }

func (c *cluster) listVM(name string, i int) {
	c.list = append(c.list, model.VM{
		ID: model.WorkerID(name), Role: model.RoleEntry, State: model.VMLive,
		Zone: c.zone(i), Address: fmt.Sprintf("a%03d", i),
	})
}

// start boots a daemon on the i-th address, with the start time that its clock
// shows.
func (c *cluster) start(name string, i int, started time.Time) *node {
	address := fmt.Sprintf("a%03d", i)
	n := &node{
		c: c, id: name, name: fmt.Sprintf("%s/%d", name, len(c.nodes)),
		removed: make(map[model.DaemonID]time.Time), suspected: make(map[model.DaemonID]time.Time),
		machine: membership.New(membership.Member{
			ID: model.DaemonID(name), Address: address, Zone: c.zone(i), Started: started,
		}, c.o),
	}
	c.at[address] = n
	c.nodes = append(c.nodes, n)
	c.net.Every(n.name, tickEvery, func() { n.step(membership.Tick{Random: c.net.Rand.Uint64()}) })
	c.net.Every(n.name, 10*time.Second, func() { n.step(membership.VMsListed{VMs: c.list}) })
	c.net.After(n.name, 0, func() { n.step(membership.VMsListed{VMs: c.list}) })
	return n
}

func (n *node) step(ev membership.Event) {
	for _, cmd := range n.machine.Step(n.c.net.Now(), ev) {
		switch cmd := cmd.(type) {
		case membership.ExchangeWith:
			n.exchange(cmd)
		case membership.Changed:
			n.note()
		}
	}
}

func (n *node) note() {
	for _, m := range n.machine.View().Members {
		switch m.State {
		case membership.Dead:
			noteOnce(n.removed, m.ID, n.c.net.Now())
		case membership.Suspect:
			noteOnce(n.suspected, m.ID, n.c.net.Now())
		}
	}
}

func noteOnce(seen map[model.DaemonID]time.Time, id model.DaemonID, now time.Time) {
	if _, ok := seen[id]; !ok {
		seen[id] = now
	}
}

func (n *node) exchange(cmd membership.ExchangeWith) {
	self, records := n.machine.OutgoingTo(cmd.Peer)
	req := &peerv1.ExchangeRequest{Sender: self, Members: records}
	n.count(req)
	to := n.c.at[cmd.Address]
	simnet.Call(n.c.net, n.name, to.name, cmd.Timeout, func() *peerv1.ExchangeResponse {
		to.step(membership.Received{From: req.Sender, Members: req.Members})
		self, records := to.machine.OutgoingTo(model.DaemonID(n.id))
		resp := &peerv1.ExchangeResponse{Sender: self, Members: records}
		to.count(resp)
		return resp
	}, func(resp *peerv1.ExchangeResponse, err error) {
		n.step(membership.ExchangeDone{Peer: cmd.Peer, Resp: resp, Err: err})
	})
}

func (n *node) count(m proto.Message) {
	n.bytes += proto.Size(m)
	n.sent++
}

func (n *node) state(of string) membership.State {
	m, _ := n.machine.View().Member(model.DaemonID(of))
	return m.State
}

func (n *node) alive() int { return len(n.machine.View().Alive()) }

// up returns the running nodes.
func (c *cluster) up() []*node {
	var out []*node
	for _, n := range c.nodes {
		if !c.net.Down(n.name) {
			out = append(out, n)
		}
	}
	return out
}

// all reports whether ok holds on every running node.
func (c *cluster) all(ok func(*node) bool) bool {
	for _, n := range c.up() {
		if !ok(n) {
			return false
		}
	}
	return true
}

// settle runs until every running node sees all of them alive, and returns how
// long that took.
func (c *cluster) settle(t *testing.T) time.Duration {
	t.Helper()
	return c.await(t, 3*time.Minute, "all see all alive", func(n *node) bool {
		return n.alive() == len(c.up()) && !n.machine.View().Isolated
	})
}

// await runs until ok holds on every running node and returns how long that
// took.
func (c *cluster) await(t *testing.T, limit time.Duration, what string, ok func(*node) bool) time.Duration {
	t.Helper()
	begin := c.net.Now()
	for c.net.Now().Sub(begin) < limit {
		if c.all(ok) {
			return c.net.Now().Sub(begin)
		}
		c.net.Run(tickEvery)
	}
	for _, n := range c.up() {
		if !ok(n) {
			t.Logf("%s: alive %d isolated %v stats %+v", n.name, n.alive(), n.machine.View().Isolated, n.machine.Stats())
		}
	}
	t.Fatalf("not reached within %s: %s", limit, what)
	return 0
}

// removals counts the members that nodes have shown as dead.
func (c *cluster) removals() int {
	total := 0
	for _, n := range c.nodes {
		total += len(n.removed)
	}
	return total
}
