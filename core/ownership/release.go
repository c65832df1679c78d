package ownership

import (
	"time"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/port"
)

// driveOwned gives the shard up if this daemon drains or should hand the shard
// over.
func (m *Machine) driveOwned(now time.Time, s *shard) []Command {
	switch {
	case m.draining:
		return m.giveUp(s, LostDrained)
	case m.shouldHandOver(now, s):
		return m.giveUp(s, LostHandedOver)
	}
	return nil
}

// shouldHandOver reports whether another daemon has been the assigned owner for
// SettleTime. That daemon is a candidate and is therefore considered alive. A
// fallback owner keeps the shard for longer each time, because the assigned
// owner did not acquire it before.
func (m *Machine) shouldHandOver(now time.Time, s *shard) bool {
	if s.assignedOwner == "" || s.assignedOwner == m.self || !m.MayCommit(now) {
		return false
	}
	settled := !now.Before(s.assignedSince.Add(m.options.SettleTime))
	return settled && !now.Before(s.fallbackHoldUntil)
}

// giveUp reports the shard as lost and then releases it, so that this daemon
// stops acting for the shard before the next owner can acquire it.
func (m *Machine) giveUp(s *shard, reason LostReason) []Command {
	s.owned = false
	s.releasing = true
	return append([]Command{ShardLost{Shard: s.id, Reason: reason}}, m.release(s)...)
}

// release deletes the owner key if it is still this owner's, and writes the
// released key, which proves that nothing more is sent under this epoch.
func (m *Machine) release(s *shard) []Command {
	s.call = releaseCall
	key := ledger.OwnerKey(m.options.KeyPrefix, s.id)
	return []Command{Release{
		Shard: s.id,
		Conditions: []port.Condition{
			{Key: key, Kind: port.CompareCreateRevision, Revision: int64(s.epoch)},
		},
		Ops: []port.Op{
			{Key: key, Delete: true},
			{Key: ledger.ReleasedKey(m.options.KeyPrefix, s.id), Value: m.ownerValue()},
		},
	}}
}

func (m *Machine) releaseAnswered(now time.Time, ev ReleaseAnswered) {
	s := m.find(ev.Shard)
	if s == nil || s.call != releaseCall {
		return
	}
	s.call = noCall
	if !s.releasing {
		return
	}
	if ev.Err != nil {
		s.nextCall = s.retry.next(now)
		return
	}
	s.releasing = false
	s.epoch = 0
	s.retry.reset()
	s.nextCall = now.Add(m.options.RetryMax)
}

// ledgerStoodDown gives up a shard whose ledger stood down, and does not acquire
// it again during a cooldown. The cooldown doubles each time, unless the shard
// was owned for longer than maxCooldown in between.
func (m *Machine) ledgerStoodDown(now time.Time, ev LedgerStoodDown) []Command {
	s := m.find(ev.Shard)
	if s == nil || !s.owned {
		return nil
	}
	if now.Sub(s.acquiredAt) > maxCooldown {
		s.cooldown = 0
	}
	s.cooldown = min(max(2*s.cooldown, m.options.RetryMax), maxCooldown)
	s.cooldownUntil = now.Add(s.cooldown)
	return m.giveUp(s, LostLedgerStoodDown)
}
