package workersession

import (
	"slices"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// Session is the owner's side of the protocol with one worker. It is driven
// by one goroutine.
type Session struct {
	worker model.WorkerID
	shard  model.ShardID
	epoch  model.Epoch
	opt    Options

	// inheritedBound is by when everything that earlier owners started or
	// renewed is over unless this owner renewed it, given settled.
	inheritedBound time.Time
	// predecessorsOver is whether no earlier owner can be renewing here any more.
	predecessorsOver bool

	attempts attemptSet
	desired  bool // a first Desired was given

	granted Permission
	fenced  bool
	gone    bool
	leaving bool

	grant       *workerv1.Grant
	grantAt     time.Time // when the response that carried grant was received
	call        *call
	calls       uint64
	nextCall    time.Time // when the next renewal is due
	retryAt     time.Time // commands wait until then
	renewedAt   time.Time // when the latest renewal was sent
	reportAt    time.Time // when the next whole report is due
	usageAt     time.Time // when the next measurements are due
	hashMatched bool      // the agent's latest answer found the same hash

	reach reach

	out []Command
}

// call is the one call in flight.
type call struct {
	id         uint64
	sentAt     time.Time
	wantReport bool
	wantUsage  bool
	hashed     bool       // it carried a hash,
	set        []*attempt // which stood for these,
	byHash     bool       // and nothing else renewed
}

// New returns the session of the owner that acquired shard under epoch at
// acquiredAt. clean says that no earlier owner can be renewing in a store
// outage any more: the previous one released the shard itself, and knew that
// its own predecessors were over, or had acquired it clean in its turn.
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

// Worker returns the worker's name.
func (s *Session) Worker() model.WorkerID { return s.worker }

// Epoch returns the owner's epoch.
func (s *Session) Epoch() model.Epoch { return s.epoch }

// Unreachable reports whether the worker counts as unreachable.
func (s *Session) Unreachable() bool { return s.reach.unreachable }

// Fenced reports whether a newer owner was seen.
func (s *Session) Fenced() bool { return s.fenced }

// AwaitsPredecessors reports whether an attempt cannot be found over by time
// before MayAct says that the predecessors are over.
func (s *Session) AwaitsPredecessors() bool { return !s.predecessorsOver && !s.Idle() }

// Idle reports whether no attempt is wanted or may be running, so that the
// session of a VM that is gone can be dropped.
func (s *Session) Idle() bool {
	return !slices.ContainsFunc(s.attempts.sorted, func(a *attempt) bool {
		return a.wanted || !a.over
	})
}

// Bound returns the time after which the attempt is certainly over on this
// worker unless it is renewed again. The second result is false when the
// session does not know the attempt, or an earlier owner may still renew it.
func (s *Session) Bound(key model.AttemptKey) (time.Time, bool) {
	a := s.attempts.find(key.Task.String(), uint32(key.Attempt))
	if a == nil || !s.predecessorsOver {
		return time.Time{}, false
	}
	return a.bound, true
}

// Step takes one event and returns what is to be done, in order.
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

// permission is what the session may send at now.
func (s *Session) permission(now time.Time) Permission {
	if !s.granted.Until.IsZero() && !now.Before(s.granted.Until) {
		return Permission{}
	}
	return s.granted
}

// onPermission notes a new permission. Silence while the session was not allowed
// to ask is not the worker's silence.
func (s *Session) onPermission(now time.Time, ev Permission) {
	before := s.permission(now)
	s.granted = ev
	s.predecessorsOver = s.predecessorsOver || ev.PredecessorsOver
	if !before.Full && !before.RenewOnly {
		s.reach.askedSince = now
	}
}
