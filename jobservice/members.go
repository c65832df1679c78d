package jobservice

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/port"
)

// membersPrefix precedes the name of each live daemon; the value is its Relay.
const membersPrefix = "guavarill/members/"

const (
	// memberTTL is how long the entry of a daemon that has exited remains. The leader
	// notices much sooner that a relay does not respond.
	memberTTL = 4 * time.Second
	// memberRenewalInterval is the time between two renewals of the entry.
	memberRenewalInterval = time.Second
	// memberRetryDelay is the delay before a failed registration is retried.
	memberRetryDelay = 500 * time.Millisecond
	// membersInterval is the time between two reads of the entries.
	membersInterval = 2 * time.Second
	// workersPerRelay is how many workers a relay serves: about 100 calls a second, a
	// fiftieth of a core.
	workersPerRelay = 24
	// minRelays and maxRelays bound the number of relays. The loss of one of four
	// leaves a quarter of the workers without orders for at most half a second, and
	// the leader sends each relay a message in each of its steps.
	minRelays = 4
	maxRelays = 16
)

// Member keeps the entry of a daemon in the store.
type Member struct {
	store port.Store
	name  string
	self  Relay
	log   *logrus.Entry
}

// Relay is a daemon that can relay a leader's orders to workers.
type Relay struct {
	// Address is where the daemon receives the orders.
	Address string `json:"address"`
	// Weight is the daemon's capacity in proportion to other relays: its number of
	// cores, which may be a fraction.
	Weight float64 `json:"weight"`
}

// NewMember returns a Member; Run registers it.
func NewMember(store port.Store, name string, self Relay, log *logrus.Logger) *Member {
	return &Member{store: store, name: name, self: self, log: log.WithField("component", "member")}
}

// Run keeps the daemon registered until ctx ends, and then removes its entry.
func (m *Member) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := m.register(ctx)
		if err != nil {
			m.log.WithError(err).Debug("registration failed; retrying")
			Pause(ctx, memberRetryDelay)
			continue
		}
		m.renew(ctx, lease)
		if ctx.Err() != nil {
			m.deregister(lease)
		}
	}
}

// register stores the entry under a new lease.
func (m *Member) register(ctx context.Context) (port.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := m.store.GrantLease(ctx, memberTTL)
	if err != nil {
		return 0, err
	}
	entry := port.Op{Key: membersPrefix + m.name, Value: encodeRecord(m.self), Lease: lease}
	_, err = m.store.Txn(ctx, nil, []port.Op{entry})
	return lease, err
}

// renew renews the entry until it is gone or ctx ends.
func (m *Member) renew(ctx context.Context, lease port.LeaseID) {
	for Pause(ctx, memberRenewalInterval) {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := m.store.KeepAlive(call, lease)
		cancel()
		if isKind(err, port.StoreLeaseNotFound) {
			m.log.Info("the entry has expired; registering again")
			return
		}
	}
}

func (m *Member) deregister(lease port.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := m.store.RevokeLease(ctx, lease); err != nil {
		m.log.WithError(err).Debug("entry not removed; it will expire")
	}
}

// RelaySetter receives the set of daemons that relay the leader's orders.
type RelaySetter interface {
	SetRelays(relays []Relay)
}

// pollMembers updates the relays from the other daemons until ctx ends, and hands
// leadership over when one of them is much larger. While the store is unreachable,
// the last known daemons remain in use.
func (t *term) pollMembers(ctx context.Context) {
	o := &t.leader.o
	if o.Relays == nil {
		return
	}
	defer o.Relays.SetRelays(nil)
	decider := handoverDecider{own: o.Processors, triedAt: &t.leader.handedOverAt}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		entries, _, err := o.Store.List(call, membersPrefix)
		cancel()
		if err != nil {
			t.leader.log.WithError(err).Debug("members not read; keeping those known")
			Pause(ctx, membersInterval)
			continue
		}
		members := otherMembers(entries, o.Daemon, t.leader.log, o.Metrics)
		o.Relays.SetRelays(chooseRelays(members, int(t.workerCount.Load())))
		if ctx.Err() == nil && decider.shouldHandOver(o.Clock.Now(), members) {
			t.handOverLead()
			return
		}
		Pause(ctx, membersInterval)
	}
}

// chooseRelays returns the relays for so many workers: the daemons with the most
// processors. Each link has a cost for the leader, however little it transfers: a
// message with every batch, a heartbeat, and checks for received heartbeats. With 22
// links, a leader of 120 workers spent most of its processor time on messages of one
// or two orders.
func chooseRelays(relays []Relay, workers int) []Relay {
	n := min(max(workers/workersPerRelay, minRelays), maxRelays)
	if len(relays) <= n {
		return relays
	}
	chosen := slices.Clone(relays)
	slices.SortStableFunc(chosen, func(a, b Relay) int { return cmp.Compare(b.Weight, a.Weight) })
	return chosen[:n]
}

// otherMembers returns the daemons except self. A daemon whose entry cannot be
// decoded is not used as a relay; orders go through the others, or directly to the
// worker.
func otherMembers(entries []port.KeyValue, self string, log *logrus.Entry, metrics *Metrics) []Relay {
	members := make([]Relay, 0, len(entries))
	var damaged []damagedRecord
	for _, kv := range entries {
		if strings.TrimPrefix(kv.Key, membersPrefix) == self {
			continue
		}
		c, err := decodeRelay(kv.Value)
		if err != nil {
			metrics.ReportUnreadable(log, kindMember, kv, err, "the daemon relays no orders")
			damaged = append(damaged, damagedRecord{kv, err})
			continue
		}
		members = append(members, c)
	}
	metrics.unreadable.clearReadable(membersPrefix, damaged)
	return members
}

// decodeRelay decodes a member's entry. An error is a *job.RecordError.
func decodeRelay(data []byte) (Relay, error) {
	var c Relay
	if err := job.DecodeRecord(kindMember, data, &c); err != nil {
		return Relay{}, err
	}
	if c.Address == "" {
		return Relay{}, &job.RecordError{Kind: kindMember, Cause: &job.InvalidError{Field: "address", Reason: "must not be empty"}}
	}
	return c, nil
}
