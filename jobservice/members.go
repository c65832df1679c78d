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
	// memberRenewal is the time between two renewals of the entry.
	memberRenewal = time.Second
	// memberPause is the time before a failed entry is tried again.
	memberPause = 500 * time.Millisecond
	// membersInterval is the time between two reads of the entries.
	membersInterval = 2 * time.Second
	// workersPerCarrier is how many workers a carrier has: about 100 calls a
	// second, a fiftieth of a core.
	workersPerCarrier = 24
	// leastCarriers and mostCarriers bound the number of carriers: the loss of one
	// leaves a fourth of the workers without their orders for half a second at
	// most, and the leader sends each of them a message in each of its steps.
	leastCarriers = 4
	mostCarriers  = 16
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
		lease, err := m.enter(ctx)
		if err != nil {
			m.log.WithError(err).Debug("not entered; tried again")
			Pause(ctx, memberPause)
			continue
		}
		m.keep(ctx, lease)
		if ctx.Err() != nil {
			m.leave(lease)
		}
	}
}

func (m *Member) enter(ctx context.Context) (port.LeaseID, error) {
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

// keep renews the entry until it is gone or ctx ends.
func (m *Member) keep(ctx context.Context, lease port.LeaseID) {
	for Pause(ctx, memberRenewal) {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := m.store.KeepAlive(call, lease)
		cancel()
		if isKind(err, port.StoreLeaseGone) {
			m.log.Info("the entry has ended; the daemon enters again")
			return
		}
	}
}

func (m *Member) leave(lease port.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := m.store.RevokeLease(ctx, lease); err != nil {
		m.log.WithError(err).Debug("entry not removed; it ends by itself")
	}
}

// RelaySetter is told which daemons may carry the leader's orders.
type RelaySetter interface {
	SetRelays(carriers []Relay)
}

// followMembers hands the other daemons to the carriers until ctx ends, and the
// lead over when one of them is much larger. While the store is away, those that
// were there last go on.
func (t *term) followMembers(ctx context.Context) {
	o := &t.leader.o
	if o.Relays == nil {
		return
	}
	defer o.Relays.SetRelays(nil)
	handOver := handOver{own: o.Processors, triedAt: &t.leader.handedOverAt}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		entries, _, err := o.Store.List(call, membersPrefix)
		cancel()
		if err != nil {
			t.leader.log.WithError(err).Debug("members not read; those known stay")
			Pause(ctx, membersInterval)
			continue
		}
		carriers := others(entries, o.Daemon, t.leader.log, o.Metrics)
		o.Relays.SetRelays(chooseCarriers(carriers, int(t.listed.Load())))
		if ctx.Err() == nil && handOver.due(o.Clock.Now(), carriers) {
			t.handTheLeadOver()
			return
		}
		Pause(ctx, membersInterval)
	}
}

// chooseCarriers returns the daemons that carry for so many workers: those with
// the most processors. Each link costs the leader, however little it carries: a
// message with every batch, a beat, and looks whether one came. With 22 links a
// leader of 120 workers spent most of its processor time on messages of one or
// two orders.
func chooseCarriers(carriers []Relay, workers int) []Relay {
	n := min(max(workers/workersPerCarrier, leastCarriers), mostCarriers)
	if len(carriers) <= n {
		return carriers
	}
	chosen := slices.Clone(carriers)
	slices.SortStableFunc(chosen, func(a, b Relay) int { return cmp.Compare(b.Weight, a.Weight) })
	return chosen[:n]
}

// others returns the daemons but self. An entry that cannot be read is that of a
// daemon which carries nothing; orders go by the others, or directly.
func others(entries []port.KeyValue, self string, log *logrus.Entry, metrics *Metrics) []Relay {
	carriers := make([]Relay, 0, len(entries))
	var damaged []damagedRecord
	for _, kv := range entries {
		if strings.TrimPrefix(kv.Key, membersPrefix) == self {
			continue
		}
		c, err := decodeCarrier(kv.Value)
		if err != nil {
			metrics.ReportUnreadable(log, kindMember, kv, err, "the daemon carries no orders")
			damaged = append(damaged, damagedRecord{kv, err})
			continue
		}
		carriers = append(carriers, c)
	}
	metrics.unreadable.forgetRead(membersPrefix, damaged)
	return carriers
}

// decodeCarrier reads a member's entry. An error is a *job.RecordError.
func decodeCarrier(data []byte) (Relay, error) {
	var c Relay
	if err := job.DecodeRecord(kindMember, data, &c); err != nil {
		return Relay{}, err
	}
	if c.Address == "" {
		return Relay{}, &job.RecordError{Kind: kindMember, Cause: &job.InvalidError{Field: "address", Reason: "must not be empty"}}
	}
	return c, nil
}
