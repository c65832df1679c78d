package workersession

import (
	"slices"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// Session is the owner's side of the protocol with one worker. It is not safe
// for concurrent use.
type Session struct {
	worker model.WorkerID
	shard  model.ShardID
	epoch  model.Epoch
	opt    Options

	// inheritedBound is the time after which every attempt that earlier owners
	// started or renewed is over, unless this owner renewed it. It is valid only
	// if predecessorsOver is set.
	inheritedBound time.Time
	// predecessorsOver is whether no earlier owner can still be renewing
	// attempts on the worker.
	predecessorsOver bool

	attempts attemptSet
	desired  bool // the first Desired was given

	granted Permission
	fenced  bool
	gone    bool
	leaving bool

	grant       *workerv1.Grant
	grantAt     time.Time // when the response that carried grant was received
	call        *call
	calls       uint64
	nextCall    time.Time // when the next renewal is due
	retryAt     time.Time // commands are held back until then
	renewedAt   time.Time // when the latest renewal was sent
	reportAt    time.Time // when the next full report is due
	usageAt     time.Time // when the next usage measurements are due
	hashMatched bool      // the latest response confirmed the hash

	reach reach

	out []Command
}

// call is the one call in flight.
type call struct {
	id         uint64
	sentAt     time.Time
	wantReport bool
	wantUsage  bool
	hashed     bool       // the request carried a hash
	set        []*attempt // the attempts that the hash stands for
	byHash     bool       // the request renewed by the hash alone
}

// New returns the session with worker for the owner that acquired shard under
// epoch at acquiredAt. clean states that no earlier owner can still be renewing
// leases in a store outage: the previous owner released the shard voluntarily,
// and either knew that its own predecessors were over or had itself acquired the
// shard clean.
func New(
	worker model.WorkerID,
	shard model.ShardID,
	epoch model.Epoch,
	acquiredAt time.Time,
	clean bool,
	o Options,
) *Session {
	o = o.withDefaults()
	return &Session{
		worker:           worker,
		shard:            shard,
		epoch:            epoch,
		opt:              o,
		inheritedBound:   acquiredAt.Add(o.Lease + o.Margin),
		predecessorsOver: clean,
		attempts:         newAttemptSet(),
		reach:            reach{answeredAt: acquiredAt},
	}
}

// Worker returns the worker's ID.
func (s *Session) Worker() model.WorkerID { return s.worker }

// Epoch returns the owner's epoch.
func (s *Session) Epoch() model.Epoch { return s.epoch }

// Unreachable reports whether the worker is considered unreachable.
func (s *Session) Unreachable() bool { return s.reach.unreachable }

// Fenced reports whether a newer owner was seen.
func (s *Session) Fenced() bool { return s.fenced }

// AwaitsPredecessors reports whether there are attempts whose leases cannot be
// considered expired before an event with PredecessorsOver.
func (s *Session) AwaitsPredecessors() bool { return !s.predecessorsOver && !s.Idle() }

// Idle reports whether no attempt is desired or may be running. The session of
// a VM that is gone can then be dropped.
func (s *Session) Idle() bool {
	return !slices.ContainsFunc(s.attempts.sorted, func(a *attempt) bool {
		return a.wanted || !a.over
	})
}

// Bound returns the time after which the attempt is certainly over on this
// worker unless it is renewed again. The second result is false if the session
// does not know the attempt or an earlier owner may still be renewing it.
func (s *Session) Bound(key model.AttemptKey) (time.Time, bool) {
	a := s.attempts.find(key.Task.String(), uint32(key.Attempt))
	if a == nil || !s.predecessorsOver {
		return time.Time{}, false
	}
	return a.bound, true
}

// Step handles one event and returns the commands to execute, in order.
func (s *Session) Step(now time.Time, ev Event) []Command {
	s.out = nil
	if s.fenced {
		return nil
	}
	switch ev := ev.(type) {
	case Desired:
		s.onDesired(ev)
	case Answered:
		now = ev.received(now)
		s.onAnswered(now, ev)
	case Permission:
		s.onPermission(now, ev)
	case VMGone:
		s.gone = true
	case VMListed:
		s.gone = false
	}
	s.giveUpCall(now)
	s.checkReach(now)
	s.expire(now)
	s.pump(now)
	return s.out
}

func (s *Session) emit(c Command) { s.out = append(s.out, c) }

// permission returns what the session may send at now.
func (s *Session) permission(now time.Time) Permission {
	if !s.granted.Until.IsZero() && !now.Before(s.granted.Until) {
		return Permission{}
	}
	return s.granted
}

// onPermission records a new permission. Time during which the session was not
// allowed to send does not count towards the worker being unreachable.
func (s *Session) onPermission(now time.Time, ev Permission) {
	before := s.permission(now)
	s.granted = ev
	s.predecessorsOver = s.predecessorsOver || ev.PredecessorsOver
	if !before.Full && !before.RenewOnly {
		s.reach.askedSince = now
	}
}
