package ownership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Machine is the ownership state machine of one daemon. It is not safe for
// concurrent use.
type Machine struct {
	self    model.DaemonID
	address string
	options Options
	random  *rand.Rand

	candidates []model.DaemonID
	count      uint32
	// shards are sorted by ID. They are the shards that this daemon owns, is
	// releasing, or is the assigned or fallback owner of, and those with a call
	// in flight or an acquire in doubt.
	shards []*shard
	lease  lease

	// silenceConfirmedAt is the latest ConfirmedAt of a StoreSilence event.
	// silent is whether the last such event reported a majority.
	silenceConfirmedAt time.Time
	silent             bool

	draining bool
	drained  bool
}

// New returns a Machine that owns no shards. address is the address at which
// other daemons reach this one; it is written into owner keys.
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

// Step handles one event and returns the commands to execute, in order.
func (m *Machine) Step(now time.Time, ev Event) []Command {
	// The lease is checked before the event is handled: after a pause of the
	// daemon, the first event may be a response that arrived too late to act on.
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

// shardReleased reads the owner key at once if this daemon is the assigned owner.
func (m *Machine) shardReleased(now time.Time, ev ShardReleased) {
	s := m.find(ev.Shard)
	if s != nil && !s.owned && s.assignedOwner == m.self {
		s.nextCall = now
	}
}

// MayCommit reports whether the lease has more than Margin left, so that commits
// and commands to workers may be sent for the owned shards.
func (m *Machine) MayCommit(now time.Time) bool {
	return m.lease.validWithMargin(now, m.options.Margin)
}

// MayRenew reports whether the leases of tasks on the shard's workers may be
// renewed: until the daemon's lease expires and, after that, for as long as a
// majority confirms that the store is silent, without a time limit.
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

// Owned returns the owned shards, sorted by ID.
func (m *Machine) Owned() []model.ShardID {
	var owned []model.ShardID
	for _, s := range m.shards {
		if s.owned {
			owned = append(owned, s.id)
		}
	}
	return owned
}

// Epoch returns the epoch under which the shard is owned, or false if this
// daemon does not own it.
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

// reassign recomputes the shards of which this daemon is the assigned or the
// fallback owner.
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

// forgetShards drops the shards that this daemon neither owns nor may acquire
// and for which no call or acquire is outstanding.
func (m *Machine) forgetShards(now time.Time) {
	m.shards = slices.DeleteFunc(m.shards, func(s *shard) bool {
		wanted := s.assignedOwner == m.self || s.isFallback
		return !wanted && !s.owned && !s.releasing && s.call == noCall && !s.inDoubt(now)
	})
}

// finishDrain revokes the lease and reports Drained once no shard is held under
// the lease.
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
