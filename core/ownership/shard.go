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
	// inDoubtLeases is for how many lease times an acquire without an answer is
	// looked for when the shard is not wanted any more.
	inDoubtLeases = 4
	// maxFallbackHold and maxPenalty bound the doubling times for which a stand-in
	// keeps a shard, and for which a shard whose ledger stood down is left.
	maxFallbackHold    = 10 * time.Minute
	maxCooldown = time.Minute
)

// call is the store call about a shard that is under way.
type call uint8

const (
	noCall call = iota
	readCall
	acquireCall
	releaseCall
)

// shard is what this daemon knows of one shard.
type shard struct {
	id model.ShardID
	// assignedOwner is the daemon that should own the shard, since ownerSince;
	// empty when unknown.
	assignedOwner model.DaemonID
	assignedSince time.Time
	// isFallback is whether this daemon stands in when the right owner does not act.
	isFallback bool

	owned bool
	epoch model.Epoch
	// releasing is set from when the shard is given up until the store has
	// confirmed it.
	releasing bool

	call     call
	nextCall time.Time
	retry    backoff

	// absentSince is when the owner key was first seen absent, zero when it is
	// not.
	absentSince time.Time
	// released is the mod revision of the key left by an owner that gave the
	// shard up of itself, 0 when absent.
	released int64

	// acquireLease is the lease of the last acquire, and clean whether every
	// acquire that may have been made followed a release.
	acquireLease port.LeaseID
	clean        bool
	// doubtUntil is set after an acquire whose outcome is not known.
	doubtUntil time.Time

	// fallbackHold is for how long a stand-in keeps the shard.
	fallbackHold      time.Duration
	fallbackHoldUntil time.Time
	// cooldown is for how long the shard is left alone after its ledger stood
	// down.
	cooldown    time.Duration
	cooldownUntil  time.Time
	acquiredAt time.Time
}

func (s *shard) setAssigned(now time.Time, owner model.DaemonID) {
	if owner == s.assignedOwner {
		return
	}
	s.assignedOwner = owner
	s.assignedSince = now
}

func (s *shard) inDoubt(now time.Time) bool { return now.Before(s.doubtUntil) }

// clearOwnership forgets what was held under a lease that is over. A call under way stays
// so until its answer comes, which finds another lease and is ignored.
func (s *shard) clearOwnership() {
	s.owned = false
	s.releasing = false
	s.epoch = 0
	s.acquireLease = 0
	s.doubtUntil = time.Time{}
	s.absentSince = time.Time{}
}

// driveShard makes the next call about a shard when it is due.
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
		// Without a lease there is nothing to do with the answer yet.
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

// parseOwner notes whether the last owner released the shard of itself, and
// returns the owner key if there is one.
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

// isOurs reports whether the owner key was put by this daemon under its
// present lease. A key under an earlier lease is another owner's: it was
// given up.
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

// nextRead is when to read the owner key again.
func (m *Machine) nextRead(now time.Time, s *shard) time.Time {
	if s.assignedOwner == m.self || s.inDoubt(now) {
		return s.retry.next(now)
	}
	return now.Add(m.options.FallbackAfter)
}
