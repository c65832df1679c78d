package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/config"
	"github.com/guavarill/guavarill/core/cordon"
	"github.com/guavarill/guavarill/core/dissemination"
	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ownership"
	"github.com/guavarill/guavarill/core/shares"
	"github.com/guavarill/guavarill/core/timeline"
	"github.com/guavarill/guavarill/core/topology"
	"github.com/guavarill/guavarill/port"
	"github.com/guavarill/guavarill/traffic"
)

// control is all control state of a daemon. It is used by the control loop
// only.
type control struct {
	o       *Options
	ctx     context.Context
	exec    executor
	clock   port.Clock
	random  *rand.Rand
	log     *logrus.Logger
	metrics *metrics
	ring    *timeline.Ring
	engine  *traffic.Engine
	homes   *homes

	members  *membership.Machine
	composer *dissemination.Composer
	spreader *dissemination.Broadcaster
	table    *dissemination.Table
	owner    *ownership.Machine
	config   *config.State

	// The views below are replaced, never changed in place.
	view     *membership.View
	topology *topology.Topology
	// topologyMod is the store revision that last changed the topology.
	topologyMod int64
	vms         map[model.WorkerID]model.VM
	vmsKnown    bool
	// shardVMs are the listed workers of each shard, ordered by id, and largest
	// the capacities that no other listed worker's exceeds.
	shardVMs map[model.ShardID][]model.VM
	largest  []model.Resources

	shards map[model.ShardID]*shard
	// slowdowns and sizes are learned from all shards owned here.
	slowdowns *interference.Model
	sizes     *interference.Sizes

	applies map[uint64]*applyOp
	nextID  uint64

	configWatch configWatch
	// cordons are the availability zones in which nothing is started.
	cordons cordon.View
	// storeRead is whether the stored configuration was read since the start,
	// peersHeard the daemons that answered since then.
	storeRead  bool
	peersHeard map[model.DaemonID]bool
	peerShards map[model.ShardID]peerShard
	// inboxNotices are shards to which tasks were handed and whose owners were
	// not told yet.
	inboxNotices map[model.ShardID]bool

	// storeAnswered is when the store last decided a call of this daemon, or
	// no call was waiting for it; storeCalls counts those that wait, and
	// storeFailed is whether the last one to end was not answered.
	storeAnswered time.Time
	storeCalls    int
	storeFailed   bool
	storeSilent   bool
	drain         drainState
	periods       periods
	tables        tables
}

// periods says when each periodic task is next due.
type periods struct {
	vmList     time.Time
	vmListBusy bool
	configPoll time.Time
	configBusy bool
	topology   time.Time
	topoBusy   bool
	probe      time.Time
	tables     time.Time
	cordons    time.Time
	cordonBusy bool
}

// tables is what the engine was last given.
type tables struct {
	dirty    bool
	services map[string]*serviceTable
	entries  []shares.Entry
	revision model.Revision
}

func newControl(ctx context.Context, o *Options, exec executor, engine *traffic.Engine, h *homes, m *metrics, ring *timeline.Ring) *control {
	id := o.Identity
	c := &control{
		o:            o,
		ctx:          ctx,
		exec:         exec,
		clock:        o.Ports.Clock,
		random:       rand.New(rand.NewPCG(o.Seed, 0)),
		log:          o.Logger,
		metrics:      m,
		ring:         ring,
		engine:       engine,
		homes:        h,
		table:        dissemination.NewTable(),
		spreader:     dissemination.NewBroadcaster(id.ID, 0),
		owner:        ownership.New(id.ID, id.PeerAddress, withSeed(o.Ownership, o.Seed)),
		config:       config.NewState(),
		shards:       make(map[model.ShardID]*shard),
		slowdowns:    interference.New(interference.DefaultOptions()),
		sizes:        interference.NewSizes(interference.DefaultSizeOptions()),
		applies:      make(map[uint64]*applyOp),
		vms:          make(map[model.WorkerID]model.VM),
		peersHeard:   make(map[model.DaemonID]bool),
		peerShards:   make(map[model.ShardID]peerShard),
		inboxNotices: make(map[model.ShardID]bool),
		tables:       tables{services: make(map[string]*serviceTable)},
	}
	c.members = membership.New(membership.Member{
		ID:          id.ID,
		Incarnation: uint64(id.Started.UnixNano()),
		Address:     id.PeerAddress,
		Zone:        id.Zone,
		Started:     id.Started,
	}, withGrace(o.Members, o.Ownership.OutageGrace))
	c.composer = dissemination.NewComposer(
		id.Cluster, protocolVersion, 0, c.members, c.table, configSource{c.config})
	c.view = c.members.View()
	c.storeAnswered = c.clock.Now()
	return c
}

func withSeed(o ownership.Options, seed uint64) ownership.Options {
	o.Seed = seed
	return o
}

// withGrace has the members asked often enough for their answers to stay fresh
// for the owner, which goes by them.
func withGrace(o membership.Options, grace time.Duration) membership.Options {
	o.OutageGrace = grace
	return o
}

// handle takes one event to its end.
func (c *control) handle(ev event) {
	ev.apply(c)
	c.pushChanges()
}

// tick lets time pass for every state machine.
type tick struct{}

func (tick) apply(c *control) {
	now := c.clock.Now()
	c.stepMembers(membership.Tick{Random: c.random.Uint64()})
	c.countStoreSilence(now)
	c.probeStore(now)
	c.noticeStoreSilence(now)
	c.offerCandidates(now)
	c.stepOwner(ownership.Shards{Count: c.topologyCount()})
	c.stepOwner(ownership.StoreSilence{ConfirmedAt: c.members.StoreSilentAt()})
	c.stepOwner(ownership.Tick{})
	c.tickApplies(now)
	c.tickShards(now)
	c.table.Expire(now)
	c.readPeriodically(now)
	c.tellMembers(now)
	c.metrics.shards.Set(float64(len(c.shards)))
	c.metrics.members.Set(float64(len(c.view.Alive())))
	c.updateTables(now)
	c.updateServing()
	c.tickDrain(now)
}

func (c *control) topologyCount() uint32 {
	if c.topology == nil {
		return 0
	}
	return c.topology.ShardCount()
}

// record appends to the time line.
func (c *control) record(e timeline.Event) {
	c.ring.Append(c.clock.Now(), e)
	c.metrics.events.WithLabelValues(string(e.Kind)).Inc()
}
