package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ownership"
	"github.com/guavarill/guavarill/core/scheduler"
	"github.com/guavarill/guavarill/core/workersession"
	"github.com/guavarill/guavarill/port"
	"github.com/guavarill/guavarill/traffic"
)

// Identity is who a daemon is. All of it comes from settings, except for the
// time of its start.
type Identity struct {
	Cluster string
	ID      model.DaemonID
	Zone    model.Zone
	// PeerAddress and AdminAddress are where other daemons and operators
	// reach this one, host:port.
	PeerAddress  string
	AdminAddress string
	// Started distinguishes this process from an earlier one of the same name.
	Started time.Time
}

// Ports are the daemon's ways to the platform, to other daemons and to
// targets.
type Ports struct {
	Store   port.Store
	Workers port.Workers
	VMs     port.VMList
	Peers   port.Peers
	Target  traffic.Target
	Clock   port.Clock
}

// Timing sets the control loop's periods.
type Timing struct {
	// Tick is the time between two steps of all state machines.
	Tick time.Duration
	// VMList is the time between two reads of the platform's list.
	VMList time.Duration
	// ConfigPoll is the time between two reads of the stored configuration on
	// a fresh connection. It bounds how long a watch that went silent hides a
	// change from this daemon when no peer tells it either.
	ConfigPoll time.Duration
	// Topology is the time between two reads of the topology.
	Topology time.Duration
	// Cordons is the time between two reads of the cordoned availability zones,
	// and CordonMaxAge how old the last one may be when a task is started.
	Cordons      time.Duration
	CordonMaxAge time.Duration
	// Decide is the longest time between two scheduling cycles of a shard.
	Decide time.Duration
	// Tables is the longest time between two updates of the engine's tables.
	Tables time.Duration
	// ShareGrowDelay is how long a larger share of an instance's slots must
	// have been due before this entry uses it.
	ShareGrowDelay time.Duration
	// StoreCall bounds one call of the store, PeerCall one push to a peer: a
	// change passes up to four daemons that are dead and not yet known to be,
	// one after the other, and must be everywhere within 6 s.
	StoreCall time.Duration
	PeerCall  time.Duration
	// ApplyDeadline bounds an operator's apply or cancel.
	ApplyDeadline time.Duration
}

// DefaultTiming suits daemons in the zones of one or a few near regions.
func DefaultTiming() Timing {
	return Timing{
		Tick:           100 * time.Millisecond,
		VMList:         time.Second,
		ConfigPoll:     30 * time.Second,
		Topology:       15 * time.Second,
		Cordons:        time.Second,
		CordonMaxAge:   5 * time.Second,
		Decide:         time.Second,
		Tables:         time.Second,
		ShareGrowDelay: 3 * time.Second,
		StoreCall:      2 * time.Second,
		PeerCall:       700 * time.Millisecond,
		ApplyDeadline:  10 * time.Second,
	}
}

// Options configures a daemon.
type Options struct {
	Identity  Identity
	Ports     Ports
	Timing    Timing
	Members   membership.Options
	Ownership ownership.Options
	Ledger    ledger.Options
	Session   workersession.Options
	Scheduler scheduler.Options
	Dedup     dedup.Options
	// RacksShard is how many racks share a shard.
	RacksShard int
	// CommitsPerSecond is how many group commits a second the ledgers of all
	// shards together may make; 0 is no bound.
	CommitsPerSecond float64
	// TimelineEvents is how many events the time line holds.
	TimelineEvents int
	// Seed feeds all random choices of the control loop.
	Seed       uint64
	Logger     *logrus.Logger
	Registerer prometheus.Registerer
}

// defaultOutageGrace is the age up to which a member's confirmation that the
// store is silent lets an owner without a lease go on renewing its tasks'
// leases. It must be the same for the owner that renews and for the one that
// takes over: with a shorter one the new owner takes a silent worker's tasks to
// be over while the old owner still renews their leases, and starts them a
// second time.
//
// It does not bound the outage that running tasks survive. A new owner that
// cannot reach a worker waits for it and for the tasks' lease; larger ones let
// confirmations through that take longer to gather.
const defaultOutageGrace = 20 * time.Second

// DefaultOptions returns the standard settings for the given identity and
// ports.
func DefaultOptions(id Identity, ports Ports) Options {
	prefix := KeyPrefix(id.Cluster)
	return Options{
		Identity:       id,
		Ports:          ports,
		Timing:         DefaultTiming(),
		Ownership:      ownership.Options{KeyPrefix: prefix, OutageGrace: defaultOutageGrace},
		Ledger:         ledger.Options{KeyPrefix: prefix, FlushInterval: 100 * time.Millisecond},
		Session:        workersession.Options{OutageGrace: defaultOutageGrace},
		Scheduler:      scheduler.DefaultOptions(),
		RacksShard:     2,
		TimelineEvents: 5000,
		Seed:           uint64(id.Started.UnixNano()),
	}
}

// KeyPrefix returns the prefix of a cluster's keys in the store.
func KeyPrefix(cluster string) string { return "/guavarill/" + cluster + "/" }

func (o *Options) manifestKey() string { return KeyPrefix(o.Identity.Cluster) + "manifest" }

// manifestHeadKey is where the revision of the manifest stands alone.
func (o *Options) manifestHeadKey() string { return o.manifestKey() + "-head" }

func (o *Options) topologyKey() string { return KeyPrefix(o.Identity.Cluster) + "topology" }

// cordonsPrefix precedes the name of each cordoned availability zone.
func (o *Options) cordonsPrefix() string { return KeyPrefix(o.Identity.Cluster) + "cordons/" }

// cordonChangesPrefix precedes the name of each availability zone whose cordon was ever
// changed. The key is written with each change, so that none is made late.
func (o *Options) cordonChangesPrefix() string {
	return KeyPrefix(o.Identity.Cluster) + "cordon-changes/"
}
