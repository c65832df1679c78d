package daemon

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/core/topology"
	"github.com/guavarill/guavarill/port"
)

// readPeriodically starts the reads that are due.
func (c *control) readPeriodically(now time.Time) {
	if !c.periods.vmListBusy && !now.Before(c.periods.vmList) {
		c.periods.vmListBusy = true
		c.readVMs()
	}
	if !c.periods.topoBusy && !now.Before(c.periods.topology) {
		c.periods.topoBusy = true
		c.readTopology()
	}
	if !c.periods.configBusy && !now.Before(c.periods.configPoll) {
		c.periods.configBusy = true
		c.pollConfig()
	}
	if !c.periods.cordonBusy && !now.Before(c.periods.cordons) && len(c.shards) > 0 {
		c.periods.cordonBusy = true
		c.readCordons()
	}
	c.keepConfigWatch(now)
}

// jittered spreads a period by a quarter, so that daemons that started
// together do not read together.
func (c *control) jittered(d time.Duration) time.Duration {
	return d*7/8 + time.Duration(c.random.Int64N(int64(d)/4+1))
}

func (c *control) readVMs() {
	c.exec.start(func() event {
		ctx, cancel := context.WithTimeout(c.ctx, c.o.Timing.StoreCall)
		defer cancel()
		vms, err := c.o.Ports.VMs.List(ctx)
		return vmsListed{vms: vms, err: err}
	})
}

type vmsListed struct {
	vms []model.VM
	err error
}

func (ev vmsListed) apply(c *control) {
	now := c.clock.Now()
	c.periods.vmListBusy = false
	c.periods.vmList = now.Add(c.jittered(c.o.Timing.VMList))
	c.stepMembers(membership.VMsListed{VMs: ev.vms, Err: ev.err})
	// An empty list is the platform's failure, not the end of all workers.
	// Taken at its word it would move every task at once.
	if ev.err != nil || !slices.ContainsFunc(ev.vms, isWorker) {
		c.metrics.vmListFailures.Inc()
		return
	}
	c.takeVMs(ev.vms)
}

func isWorker(vm model.VM) bool { return vm.Role == model.RoleWorker }

func (c *control) takeVMs(vms []model.VM) {
	next := make(map[model.WorkerID]model.VM, len(vms))
	for _, vm := range vms {
		if isWorker(vm) {
			next[vm.ID] = vm
		}
	}
	c.vms = next
	c.indexVMs()
	if !c.vmsKnown {
		// A daemon that is alone never sees its members change.
		c.vmsKnown = true
		c.membersChanged()
	}
	c.extendTopology()
	for _, id := range c.sortedShards() {
		c.shards[id].refreshWorkers()
	}
	c.markListedLeaving()
}

// indexVMs works out what follows from the list and the topology. Shards ask for
// it with every commit and every cycle; the list and the topology change seldom.
func (c *control) indexVMs() {
	c.shardVMs = make(map[model.ShardID][]model.VM)
	c.largest = nil
	for _, name := range sortedKeys(c.vms) {
		vm := c.vms[name]
		c.largest = withCapacity(c.largest, vm.Capacity)
		if shard, known := c.topology.ShardOf(vm.Rack); known {
			c.shardVMs[shard] = append(c.shardVMs[shard], vm)
		}
	}
}

// withCapacity adds a capacity to those that no other exceeds in every
// dimension.
func withCapacity(largest []model.Resources, capacity model.Resources) []model.Resources {
	if slices.ContainsFunc(largest, capacity.Fits) {
		return largest
	}
	largest = slices.DeleteFunc(largest, func(r model.Resources) bool { return r.Fits(capacity) })
	return append(largest, capacity)
}

func (c *control) readTopology() {
	c.get(storebudget.ClassPoll, c.o.topologyKey(), func(kv port.KeyValue, err error) event {
		return topologyRead{kv: kv, err: err}
	})
}

type topologyRead struct {
	kv  port.KeyValue
	err error
}

func (ev topologyRead) apply(c *control) {
	c.periods.topoBusy = false
	c.periods.topology = c.clock.Now().Add(c.jittered(c.o.Timing.Topology))
	if ev.err != nil {
		c.periods.topology = c.clock.Now().Add(c.jittered(retryRead))
		return
	}
	c.takeTopology(ev.kv)
	if c.topologyCount() == 0 {
		// Another daemon may be writing the first topology: until it is known
		// here, operators who ask this daemon are refused.
		c.periods.topology = c.clock.Now().Add(c.jittered(retryRead))
	}
	c.extendTopology()
}

// retryRead is the time before a failed read is tried again.
const retryRead = time.Second

func (c *control) takeTopology(kv port.KeyValue) {
	if kv.ModRevision < c.topologyMod || c.topology != nil && kv.ModRevision == c.topologyMod {
		return
	}
	stored := &ledgerv1.Topology{}
	if err := proto.Unmarshal(kv.Value, stored); err != nil {
		c.log.WithError(err).Error("stored topology is unreadable")
		return
	}
	t, err := topology.Decode(stored)
	if err != nil {
		c.log.WithError(err).Error("stored topology is unusable")
		return
	}
	c.topology, c.topologyMod = t, kv.ModRevision
	c.indexVMs()
	for _, id := range c.sortedShards() {
		c.shards[id].refreshWorkers()
	}
}

// extendTopology gives racks that have no shard one. Daemons that see the same
// new rack at the same time race for the compare-and-swap; the losers read
// what the winner wrote.
func (c *control) extendTopology() {
	if c.topology == nil || !c.vmsKnown || c.periods.topoBusy {
		return
	}
	next, extended := topology.Extend(c.topology, c.racks(), c.o.RacksShard)
	if !extended {
		return
	}
	value, err := proto.Marshal(next.Encode())
	if err != nil {
		c.log.WithError(err).Error("topology cannot be encoded")
		return
	}
	c.periods.topoBusy = true
	key := c.o.topologyKey()
	conditions := []port.Condition{{Key: key, Kind: port.CompareModRevision, Revision: c.topologyMod}}
	c.txn(storebudget.ClassCommit, conditions, []port.Op{{Key: key, Value: value}}, func(r port.TxnResult, err error) event {
		return topologyWritten{extended: r.Succeeded && err == nil, shards: next.ShardCount()}
	})
}

type topologyWritten struct {
	extended bool
	shards   uint32
}

// apply reads the topology back in any case: that is how a lost answer and a
// lost race are resolved alike.
func (ev topologyWritten) apply(c *control) {
	if ev.extended {
		c.record(timeline.Event{Kind: timeline.TopologyExtended})
	}
	c.readTopology()
}

func (c *control) racks() []topology.RackInZone {
	seen := make(map[model.Rack]model.Zone)
	for _, vm := range c.vms {
		seen[vm.Rack] = vm.Zone
	}
	var racks []topology.RackInZone
	for _, rack := range sortedKeys(seen) {
		racks = append(racks, topology.RackInZone{Rack: rack, Zone: seen[rack]})
	}
	return racks
}
