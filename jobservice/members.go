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

// membersPrefix precedes the name of each daemon that is there; the value is
// its Carrier.
const membersPrefix = "guavarill/members/"

const (
	// memberTTL is how long the entry of a daemon that has gone stays. The
	// leader notices much sooner that a carrier does not answer.
	memberTTL = 4 * time.Second
	// memberRenewalInterval is the time between two renewals of the entry.
	memberRenewalInterval = time.Second
	// memberRetryDelay is the time before a failed entry is tried again.
	memberRetryDelay = 500 * time.Millisecond
	// membersInterval is the time between two reads of the entries.
	membersInterval = 2 * time.Second
	// workersPerRelay is how many workers a carrier has: about 100 calls a
	// second, a fiftieth of a core.
	workersPerRelay = 24
	// minRelays and mostCarriers bound the number of carriers: the loss of one
	// leaves a fourth of the workers without their orders for half a second at
	// most, and the leader sends each of them a message in each of its steps.
	minRelays = 4
	maxRelays = 16
)

// Member enters a daemon in the store.
type Member struct {
	store port.Store
	name  string
	self  Relay
	log   *logrus.Entry
}

// Relay is a daemon that may carry a leader's orders.
type Relay struct {
	// Address is where it takes them.
	Address string `json:"address"`
	// Weight is how many it can carry, in proportion to others: its share of a
	// core.
	Weight float64 `json:"weight"`
}

// NewMember makes a Member; Run enters it.
func NewMember(store port.Store, name string, self Relay, log *logrus.Logger) *Member {
	return &Member{store: store, name: name, self: self, log: log.WithField("component", "member")}
}

// Run keeps the entry until ctx ends, and removes it then.
func (m *Member) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := m.register(ctx)
		if err != nil {
			m.log.WithError(err).Debug("not entered; tried again")
			Pause(ctx, memberRetryDelay)
			continue
		}
		m.renew(ctx, lease)
		if ctx.Err() != nil {
			m.deregister(lease)
		}
	}
}

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
		if isKind(err, port.StoreLeaseGone) {
			m.log.Info("the entry has ended; the daemon enters again")
			return
		}
	}
}

func (m *Member) deregister(lease port.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := m.store.RevokeLease(ctx, lease); err != nil {
		m.log.WithError(err).Debug("entry not removed; it ends by itself")
	}
}

// RelaySetter is told which daemons may carry the leader's orders.
type RelaySetter interface {
	SetRelays(relays []Relay)
}

// pollMembers hands the other daemons to the carriers until ctx ends, and the
// lead over when one of them is much larger. While the store is away, those that
// were there last go on.
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
			t.leader.log.WithError(err).Debug("members not read; those known stay")
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

// chooseRelays returns the daemons that carry for so many workers: those with
// the most processors. Each link costs the leader, however little it carries: a
// message with every batch, a beat, and looks whether one came. With 22 links a
// leader of 120 workers spent most of its processor time on messages of one or
// two orders.
func chooseRelays(relays []Relay, workers int) []Relay {
	n := min(max(workers/workersPerRelay, minRelays), maxRelays)
	if len(relays) <= n {
		return relays
	}
	chosen := slices.Clone(relays)
	slices.SortStableFunc(chosen, func(a, b Relay) int { return cmp.Compare(b.Weight, a.Weight) })
	return chosen[:n]
}

// otherMembers returns the daemons but self. An entry that cannot be read is that of a
// daemon which carries nothing; orders go by the otherMembers, or directly.
func otherMembers(entries []port.KeyValue, self string, log *logrus.Entry, metrics *Metrics) []Relay {
	members := make([]Relay, 0, len(entries))
	var damaged []damagedRecord
	for _, kv := range entries {
		if strings.TrimPrefix(kv.Key, membersPrefix) == self {
			continue
		}
		c, err := decodeRelay(kv.Value)
		if err != nil {
			metrics.ReportUnreadable(log, kindMember, kv, err, "the daemon carries no orders")
			damaged = append(damaged, damagedRecord{kv, err})
			continue
		}
		members = append(members, c)
	}
	metrics.unreadable.clearReadable(membersPrefix, damaged)
	return members
}

// decodeRelay reads a member's entry. An error is a *job.RecordError.
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
