package ownership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Machine is the state machine of one daemon's ownership. It is driven by one
// goroutine.
type Machine struct {
	self    model.DaemonID
	address string
	options Options
	random  *rand.Rand

	candidates []model.DaemonID
	count      uint32
	// shards are those that concern this daemon, in order.
	shards []*shard
	lease  lease

	// silenceConfirmedAt is when a majority last confirmed the store's silence; silent is
	// whether the last event named one.
	silenceConfirmedAt time.Time
	silent   bool

	draining bool
	drained  bool
}

// New returns a machine that owns nothing. address is where other daemons
// reach this one; it is written into owner keys.
func New(self model.DaemonID, address string, o Options) *Machine {
	m := &Machine{
		self:    self,
		address: address,
		options: o.withDefaults(),
		random:  newRandom(self, o.Seed),
	}
	m.lease = m.noLease()
	return m
}

// Step takes one event and returns what is to be done, in order.
func (m *Machine) Step(now time.Time, ev Event) []Command {
	// The lease is looked at before the event: after a pause the event that
	// wakes the daemon may be an answer that it must not act on any more.
	commands := m.checkLease(now)
	commands = append(commands, m.handle(now, ev)...)
	commands = append(commands, m.driveLease(now)...)
	for _, s := range m.shards {
		commands = append(commands, m.driveShard(now, s)...)
	}
	m.forgetShards(now)
	return append(commands, m.finishDrain()...)
}

func (m *Machine) handle(now time.Time, ev Event) []Command {
	switch ev := ev.(type) {
	case Members:
		m.candidates = slices.Clone(ev.Candidates)
		m.reassign(now)
	case Shards:
		m.count = max(m.count, ev.Count)
		m.reassign(now)
	case LeaseGranted:
		m.leaseGranted(now, ev)
	case KeptAlive:
		return m.keptAlive(now, ev)
	case OwnerRead:
		return m.ownerRead(now, ev)
	case AcquireAnswered:
		return m.acquireAnswered(now, ev)
	case ReleaseAnswered:
		m.releaseAnswered(now, ev)
	case StoreSilence:
		m.storeSilence(ev)
	case ShardReleased:
		m.shardReleased(now, ev)
	case LedgerStoodDown:
		return m.ledgerStoodDown(now, ev)
	case Drain:
		m.draining = true
	}
	return nil
}

// shardReleased looks at the owner key at once if this daemon should own the shard.
func (m *Machine) shardReleased(now time.Time, ev ShardReleased) {
	s := m.find(ev.Shard)
	if s != nil && !s.owned && s.assignedOwner == m.self {
		s.nextCall = now
	}
}

// MayCommit reports whether the lease surely holds, so that commits and
// commands to workers may be sent for the owned shards.
func (m *Machine) MayCommit(now time.Time) bool { return m.lease.validWithMargin(now, m.options.Margin) }

// MayRenew reports whether the leases of tasks on the shard's workers may be
// renewed: while the lease holds, and after its end, for any time, while a
// majority confirms that the store is down.
func (m *Machine) MayRenew(now time.Time, shard model.ShardID) bool {
	s := m.find(shard)
	if s == nil || !s.owned {
		return false
	}
	return now.Before(m.lease.expires) || m.mayRenewInOutage(now)
}

func (m *Machine) mayRenewInOutage(now time.Time) bool {
	return m.silent && m.lease.renewalUnanswered && now.Before(m.silenceConfirmedAt.Add(m.options.OutageGrace))
}

// Owned returns the owned shards in order.
func (m *Machine) Owned() []model.ShardID {
	var owned []model.ShardID
	for _, s := range m.shards {
		if s.owned {
			owned = append(owned, s.id)
		}
	}
	return owned
}

// Epoch returns the epoch under which the shard is owned; false when it is not.
func (m *Machine) Epoch(shard model.ShardID) (model.Epoch, bool) {
	s := m.find(shard)
	if s == nil || !s.owned {
		return 0, false
	}
	return s.epoch, true
}

func (m *Machine) storeSilence(ev StoreSilence) {
	m.silent = !ev.ConfirmedAt.IsZero()
	m.silenceConfirmedAt = latest(m.silenceConfirmedAt, ev.ConfirmedAt)
}

func (m *Machine) find(id model.ShardID) *shard {
	i, ok := m.search(id)
	if !ok {
		return nil
	}
	return m.shards[i]
}

func (m *Machine) search(id model.ShardID) (int, bool) {
	return slices.BinarySearchFunc(m.shards, id, func(s *shard, id model.ShardID) int {
		return cmp.Compare(s.id, id)
	})
}

func (m *Machine) ensure(id model.ShardID) *shard {
	i, ok := m.search(id)
	if !ok {
		s := &shard{id: id, retry: backoff{
			min: m.options.RetryMin, max: m.options.RetryMax, random: m.random,
		}}
		m.shards = slices.Insert(m.shards, i, s)
	}
	return m.shards[i]
}

// reassign works out anew which shards this daemon is to own or to stand in
// for.
func (m *Machine) reassign(now time.Time) {
	owners := Assign(m.count, m.candidates)
	if owners == nil {
		owners = make([]model.DaemonID, m.count)
	}
	for i, owner := range owners {
		id := model.ShardID(i)
		second := fallbackOwner(id, owner, m.candidates) == m.self
		known := m.find(id)
		if owner != m.self && !second && known == nil {
			continue
		}
		s := m.ensure(id)
		s.setAssigned(now, owner)
		s.isFallback = second
	}
}

// forgetShards drops the shards that do not concern this daemon any more.
func (m *Machine) forgetShards(now time.Time) {
	m.shards = slices.DeleteFunc(m.shards, func(s *shard) bool {
		wanted := s.assignedOwner == m.self || s.isFallback
		return !wanted && !s.owned && !s.releasing && s.call == noCall && !s.inDoubt(now)
	})
}

// finishDrain ends the lease once nothing is held under it.
func (m *Machine) finishDrain() []Command {
	if !m.draining || m.drained {
		return nil
	}
	for _, s := range m.shards {
		if s.owned || s.releasing || s.call == acquireCall {
			return nil
		}
	}
	if m.lease.granting {
		return nil
	}
	m.drained = true
	return append(m.revoke(), Drained{})
}
