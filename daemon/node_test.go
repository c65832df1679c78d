package daemon

import (
	"context"
	"io"

	"github.com/sirupsen/logrus"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/port"
)

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

// node is one daemon, and the executor of its control loop.
type node struct {
	c       *cluster
	id      string
	o       Options
	control *control
	homes   *homes
	ring    *timeline.Ring
	watches []*watchReader
	paused  bool
	dead    bool
	cancel  context.CancelFunc
	store   *nodeStore
	workers *nodeWorkers
}

// watchReader is one watch that a daemon reads.
type watchReader struct {
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

// follow opens a watch when its turn comes; pollWatches reads it.
func (n *node) follow(open openWatch, take func(port.WatchEvent) bool, end event) {
	n.start(func() event {
		events, err := open()
		if err != nil {
			return end
		}
		n.watches = append(n.watches, &watchReader{ctx: n.store.watching, events: events, take: take, end: end})
		return nil
	})
}

// pollWatches reads the events that the open watches have, and delivers the end of closed ones.
func (n *node) pollWatches() {
	if n.paused || n.dead {
		return
	}
	open := n.watches
	n.watches = nil
	for _, f := range open {
		if f.poll() {
			n.watches = append(n.watches, f)
		} else {
			n.deliver(f.end)
		}
	}
}

// poll reads the events that are there and reports whether the watch stays open.
func (f *watchReader) poll() bool {
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
