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
	// doubtLeases is for how many lease times an acquire without an answer is
	// looked for when the shard is not wanted any more.
	doubtLeases = 4
	// maxHold and maxPenalty bound the doubling times for which a stand-in
	// keeps a shard, and for which a shard whose ledger stood down is left.
	maxHold    = 10 * time.Minute
	maxPenalty = time.Minute
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
	// rightOwner is the daemon that should own the shard, since ownerSince;
	// empty when unknown.
	rightOwner model.DaemonID
	ownerSince time.Time
	// second is whether this daemon stands in when the right owner does not act.
	second bool

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

	// hold is for how long a stand-in keeps the shard.
	hold      time.Duration
	holdUntil time.Time
	// penalty is for how long the shard is left alone after its ledger stood
	// down.
	penalty    time.Duration
	restUntil  time.Time
	acquiredAt time.Time
}

func (s *shard) setOwner(now time.Time, owner model.DaemonID) {
	if owner == s.rightOwner {
		return
	}
	s.rightOwner = owner
	s.ownerSince = now
}

func (s *shard) inDoubt(now time.Time) bool { return now.Before(s.doubtUntil) }

// lose forgets what was held under a lease that is over. A call under way stays
// so until its answer comes, which finds another lease and is ignored.
func (s *shard) lose() {
	s.owned = false
	s.releasing = false
	s.epoch = 0
	s.acquireLease = 0
	s.doubtUntil = time.Time{}
	s.absentSince = time.Time{}
}

// mayAcquire reports whether this daemon may acquire the shard if it has no
// owner.
func (m *Machine) mayAcquire(now time.Time, s *shard) bool {
	if s.rightOwner == m.self {
		return true
	}
	waited := !s.absentSince.IsZero() && !now.Before(s.absentSince.Add(m.options.FallbackAfter))
	return s.second && waited
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
	case now.Before(s.restUntil):
		return nil
	case s.inDoubt(now):
		return m.read(s)
	case m.draining:
		return nil
	case s.rightOwner == m.self:
		// Without a lease there is nothing to do with the answer yet.
		if m.lease.sure(now, m.options.Margin) {
			return m.read(s)
		}
	case s.second:
		return m.read(s)
	}
	return nil
}

// driveOwned gives the shard up when it is to be.
func (m *Machine) driveOwned(now time.Time, s *shard) []Command {
	switch {
	case m.draining:
		return m.giveUp(s, LostDrained)
	case m.shouldHandOver(now, s):
		return m.giveUp(s, LostHandedOver)
	}
	return nil
}

// shouldHandOver reports whether another daemon has for a while been the right
// owner. It is among the candidates, so it is alive. A stand-in holds on for
// longer each time, since the right owner did not act before.
func (m *Machine) shouldHandOver(now time.Time, s *shard) bool {
	if s.rightOwner == "" || s.rightOwner == m.self || !m.MayCommit(now) {
		return false
	}
	settled := !now.Before(s.ownerSince.Add(m.options.SettleTime))
	return settled && !now.Before(s.holdUntil)
}

// giveUp stops acting on a shard and then releases it.
func (m *Machine) giveUp(s *shard, reason LostReason) []Command {
	s.owned = false
	s.releasing = true
	return append([]Command{ShardLost{Shard: s.id, Reason: reason}}, m.release(s)...)
}

// release deletes the owner key if it is still this owner's, and leaves the
// sign that nothing more is sent under its epoch.
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
	s.nextCall = m.nextLook(now, s)
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

// nextLook is when to read the owner key again.
func (m *Machine) nextLook(now time.Time, s *shard) time.Time {
	if s.rightOwner == m.self || s.inDoubt(now) {
		return s.retry.next(now)
	}
	return now.Add(m.options.FallbackAfter)
}

func (m *Machine) ownerAbsent(now time.Time, s *shard) []Command {
	if s.absentSince.IsZero() {
		s.absentSince = now
	}
	if m.draining || !m.mayAcquire(now, s) {
		s.nextCall = m.nextLook(now, s)
		return nil
	}
	if !m.lease.sure(now, m.options.Margin) {
		s.nextCall = s.retry.next(now)
		return nil
	}
	return m.acquire(now, s)
}

// acquire puts the owner key if there is none; a shard is never taken from an
// owner.
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
		// Only a name that is not UTF-8 fails; without a value the key is no
		// less an owner key.
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
	case ev.Err != nil && kindOf(ev.Err) == port.StoreLeaseGone:
		return m.leaseGone(now)
	case ev.Err != nil:
		if !notMade(ev.Err) {
			s.doubtUntil = now.Add(doubtLeases * m.options.LeaseTTL)
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

// acquired takes the shard over, or releases it when it is not wanted any
// more.
func (m *Machine) acquired(now time.Time, s *shard, epoch model.Epoch) []Command {
	s.epoch = epoch
	s.doubtUntil = time.Time{}
	s.absentSince = time.Time{}
	s.retry.reset()
	if m.draining || s.rightOwner != m.self && !s.second {
		s.releasing = true
		return m.release(s)
	}
	s.owned = true
	s.acquiredAt = now
	if s.rightOwner != m.self {
		s.hold = min(max(2*s.hold, 2*m.options.FallbackAfter), maxHold)
		s.holdUntil = now.Add(s.hold)
	}
	return []Command{ShardAcquired{Shard: s.id, Epoch: epoch, At: now, Clean: s.clean}}
}

// ledgerStoodDown gives up a shard whose ledger does not trust it, and leaves
// it alone for a while, longer each time.
func (m *Machine) ledgerStoodDown(now time.Time, ev LedgerStoodDown) []Command {
	s := m.find(ev.Shard)
	if s == nil || !s.owned {
		return nil
	}
	if now.Sub(s.acquiredAt) > maxPenalty {
		s.penalty = 0
	}
	s.penalty = min(max(2*s.penalty, m.options.RetryMax), maxPenalty)
	s.restUntil = now.Add(s.penalty)
	return m.giveUp(s, LostLedger)
}
