package ownership

import (
	"time"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

const (
	// inDoubtLeases is the number of LeaseTTLs for which the owner key is read
	// after an acquire with an unknown outcome, even when the shard is not
	// wanted any more.
	inDoubtLeases = 4
	// maxFallbackHold and maxCooldown bound two doubling times: for how long a
	// fallback owner keeps a shard, and for how long a shard whose ledger stood
	// down is not acquired again.
	maxFallbackHold = 10 * time.Minute
	maxCooldown     = time.Minute
)

// call is the kind of the store call in flight for a shard.
type call uint8

const (
	noCall call = iota
	readCall
	acquireCall
	releaseCall
)

// shard is the state of one shard on this daemon.
type shard struct {
	id model.ShardID
	// assignedOwner is the daemon that Assign selects for the shard, since
	// assignedSince; empty when unknown.
	assignedOwner model.DaemonID
	assignedSince time.Time
	// isFallback is whether this daemon acquires the shard if the assigned owner
	// does not.
	isFallback bool

	owned bool
	epoch model.Epoch
	// releasing is set from when the shard is given up until the store has
	// confirmed the release.
	releasing bool

	call     call
	nextCall time.Time
	retry    backoff

	// absentSince is when the owner key was first read as absent; zero when it
	// is present or unknown.
	absentSince time.Time
	// released is the mod revision of the released key, which the previous owner
	// wrote when it released the shard voluntarily; 0 when absent.
	released int64

	// acquireLease is the lease of the last acquire. clean is whether every
	// acquire that may have been applied was conditional on the released key.
	acquireLease port.LeaseID
	clean        bool
	// doubtUntil is set after an acquire with an unknown outcome. Until then
	// the owner key may still turn out to be this daemon's.
	doubtUntil time.Time

	// fallbackHold is the minimum time for which a fallback owner keeps the
	// shard. It doubles with each acquire.
	fallbackHold      time.Duration
	fallbackHoldUntil time.Time
	// cooldown is for how long the shard is not acquired again after its
	// ledger stood down.
	cooldown      time.Duration
	cooldownUntil time.Time
	acquiredAt    time.Time
}

func (s *shard) setAssigned(now time.Time, owner model.DaemonID) {
	if owner == s.assignedOwner {
		return
	}
	s.assignedOwner = owner
	s.assignedSince = now
}

func (s *shard) inDoubt(now time.Time) bool { return now.Before(s.doubtUntil) }

// clearOwnership resets what was held under a lease that has ended. A call in
// flight remains until its response arrives, which is then ignored because it
// belongs to another lease.
func (s *shard) clearOwnership() {
	s.owned = false
	s.releasing = false
	s.epoch = 0
	s.acquireLease = 0
	s.doubtUntil = time.Time{}
	s.absentSince = time.Time{}
}

// driveShard makes the next call for a shard if it is due.
func (m *Machine) driveShard(now time.Time, s *shard) []Command {
	if s.owned {
		return m.driveOwned(now, s)
	}
	if s.call != noCall || now.Before(s.nextCall) {
		return nil
	}
	switch {
	case s.releasing:
		return m.release(s)
	case now.Before(s.cooldownUntil):
		return nil
	case s.inDoubt(now):
		return m.read(s)
	case m.draining:
		return nil
	case s.assignedOwner == m.self:
		// Without a valid lease the shard could not be acquired anyway.
		if m.lease.validWithMargin(now, m.options.Margin) {
			return m.read(s)
		}
	case s.isFallback:
		return m.read(s)
	}
	return nil
}

func (m *Machine) read(s *shard) []Command {
	s.call = readCall
	return []Command{ReadOwner{
		Shard:  s.id,
		Prefix: ledger.OwnerKey(m.options.KeyPrefix, s.id),
	}}
}

func (m *Machine) ownerRead(now time.Time, ev OwnerRead) []Command {
	s := m.find(ev.Shard)
	if s == nil || s.call != readCall {
		return nil
	}
	s.call = noCall
	if ev.Err != nil {
		s.nextCall = s.retry.next(now)
		return nil
	}
	owner, held := m.parseOwner(s, ev.KVs)
	if !held {
		return m.ownerAbsent(now, s)
	}
	s.absentSince = time.Time{}
	if m.isOurs(owner) {
		s.clean = s.clean && s.acquireLease == m.lease.id
		return m.acquired(now, s, model.Epoch(owner.CreateRevision))
	}
	s.nextCall = m.nextRead(now, s)
	return nil
}

// parseOwner returns the owner key if present, and records whether the previous
// owner released the shard voluntarily.
func (m *Machine) parseOwner(s *shard, kvs []port.KeyValue) (owner port.KeyValue, held bool) {
	s.released = 0
	for _, kv := range kvs {
		switch kv.Key {
		case ledger.OwnerKey(m.options.KeyPrefix, s.id):
			owner, held = kv, true
		case ledger.ReleasedKey(m.options.KeyPrefix, s.id):
			s.released = kv.ModRevision
		}
	}
	return owner, held
}

// isOurs reports whether the owner key was written by this daemon under its
// current lease. A key under an earlier lease does not count: this daemon gave
// up its shards together with that lease.
func (m *Machine) isOurs(kv port.KeyValue) bool {
	if m.lease.id == 0 || kv.Lease != m.lease.id {
		return false
	}
	owner := &ledgerv1.Owner{}
	if err := proto.Unmarshal(kv.Value, owner); err != nil {
		return false
	}
	return owner.GetDaemon() == string(m.self)
}

// nextRead returns when to read the owner key again: with backoff while this
// daemon is the assigned owner or an acquire is in doubt, otherwise after
// FallbackAfter.
func (m *Machine) nextRead(now time.Time, s *shard) time.Time {
	if s.assignedOwner == m.self || s.inDoubt(now) {
		return s.retry.next(now)
	}
	return now.Add(m.options.FallbackAfter)
}
