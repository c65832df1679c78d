package ownership

import (
	"time"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// mayAcquire reports whether this daemon may acquire the shard if the shard has
// no owner: as the assigned owner at once, as the fallback owner after
// FallbackAfter.
func (m *Machine) mayAcquire(now time.Time, s *shard) bool {
	if s.assignedOwner == m.self {
		return true
	}
	waited := !s.absentSince.IsZero() && !now.Before(s.absentSince.Add(m.options.FallbackAfter))
	return s.isFallback && waited
}

func (m *Machine) ownerAbsent(now time.Time, s *shard) []Command {
	if s.absentSince.IsZero() {
		s.absentSince = now
	}
	if m.draining || !m.mayAcquire(now, s) {
		s.nextCall = m.nextRead(now, s)
		return nil
	}
	if !m.lease.validWithMargin(now, m.options.Margin) {
		s.nextCall = s.retry.next(now)
		return nil
	}
	return m.acquire(now, s)
}

// acquire writes the owner key on the condition that it is absent: a shard is
// never taken from an owner.
func (m *Machine) acquire(now time.Time, s *shard) []Command {
	clean := s.released != 0
	if s.inDoubt(now) {
		clean = clean && s.clean
	}
	s.clean = clean
	s.call = acquireCall
	s.acquireLease = m.lease.id
	owner := ledger.OwnerKey(m.options.KeyPrefix, s.id)
	released := ledger.ReleasedKey(m.options.KeyPrefix, s.id)
	ops := []port.Op{{Key: owner, Value: m.ownerValue(), Lease: m.lease.id}}
	if s.released != 0 {
		ops = append(ops, port.Op{Key: released, Delete: true})
	}
	return []Command{Acquire{
		Shard: s.id,
		Conditions: []port.Condition{
			{Key: owner, Kind: port.CompareCreateRevision, Revision: 0},
			{Key: released, Kind: port.CompareModRevision, Revision: s.released},
		},
		Ops: ops,
	}}
}

func (m *Machine) ownerValue() []byte {
	value, err := proto.Marshal(&ledgerv1.Owner{Daemon: string(m.self), Address: m.address})
	if err != nil {
		// Encoding fails only for a name that is not valid UTF-8. The owner key
		// is effective without a value, too.
		return nil
	}
	return value
}

func (m *Machine) acquireAnswered(now time.Time, ev AcquireAnswered) []Command {
	s := m.find(ev.Shard)
	if s == nil || s.call != acquireCall {
		return nil
	}
	s.call = noCall
	if s.acquireLease == 0 || s.acquireLease != m.lease.id {
		return nil
	}
	switch {
	case ev.Err != nil && kindOf(ev.Err) == port.StoreLeaseNotFound:
		return m.leaseGone(now)
	case ev.Err != nil:
		if !isNotDone(ev.Err) {
			s.doubtUntil = now.Add(inDoubtLeases * m.options.LeaseTTL)
		}
		s.nextCall = s.retry.next(now)
		return nil
	case !ev.Result.Succeeded:
		s.absentSince = time.Time{}
		s.nextCall = s.retry.next(now)
		return nil
	}
	return m.acquired(now, s, model.Epoch(ev.Result.Revision))
}

// acquired makes this daemon the owner of the shard, or releases the shard if
// the daemon is draining or is neither its assigned nor its fallback owner any
// more.
func (m *Machine) acquired(now time.Time, s *shard, epoch model.Epoch) []Command {
	s.epoch = epoch
	s.doubtUntil = time.Time{}
	s.absentSince = time.Time{}
	s.retry.reset()
	if m.draining || s.assignedOwner != m.self && !s.isFallback {
		s.releasing = true
		return m.release(s)
	}
	s.owned = true
	s.acquiredAt = now
	if s.assignedOwner != m.self {
		s.fallbackHold = min(max(2*s.fallbackHold, 2*m.options.FallbackAfter), maxFallbackHold)
		s.fallbackHoldUntil = now.Add(s.fallbackHold)
	}
	return []Command{ShardAcquired{Shard: s.id, Epoch: epoch, At: now, Clean: s.clean}}
}
