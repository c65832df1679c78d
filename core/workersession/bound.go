package workersession

import "time"

// endPredecessors handles the first response under this epoch. From then on the
// agent has seen the epoch and refuses earlier owners. The leases that those
// renewed before count from grants that the agent issued before the grant of
// this response.
//
// Without a response, attempts of earlier owners are over one lease after the
// shard was acquired, as far as those owners acted under their own leases on the
// shard: an owner checks its permission before each message and uses a grant that
// it received before that check. But an earlier owner may be partitioned together
// with a majority that finds the store silent, and then keeps renewing as long as
// this lasts. With a fixed limit on that time, a task would be started elsewhere
// while the agent still accepts the old owner's renewals. The session therefore
// waits for an event with PredecessorsOver.
func (s *Session) endPredecessors() {
	if s.predecessorsOver {
		return
	}
	s.predecessorsOver = true
	bound := s.grantAt.Add(s.opt.Lease + s.opt.Margin)
	if bound.After(s.inheritedBound) {
		s.inheritedBound = bound
	}
	for _, a := range s.attempts.sorted {
		s.extend(a)
	}
}

// extend extends a's bound for a message that carries the current grant. The
// agent counts the lease from when it issued the grant, which was before
// grantAt. The time at which the message is sent does not matter: a late message
// does not extend the lease beyond that.
func (s *Session) extend(a *attempt) {
	bound := s.grantAt.Add(s.opt.Lease + s.opt.Margin)
	if bound.After(a.bound) {
		a.bound = bound
	}
}

// expire ends the attempts whose bound has passed. Without a bound, the tasks of
// an unreachable worker could never start again; with a bound that is too low,
// they would run in two places at once. Until the predecessors are over, not even
// an attempt that this owner never sent ends in this way, because the session
// does not rely on the first Desired to name every inherited attempt.
func (s *Session) expire(now time.Time) {
	if !s.predecessorsOver {
		return
	}
	for _, a := range s.attempts.sorted {
		if a.over || !now.After(a.bound) {
			continue
		}
		if a.mayRun() {
			s.finish(a, Over{Attempt: a.key, Reason: LeaseExpired})
		} else if s.reach.unreachable || s.gone {
			s.finish(a, Over{Attempt: a.key, Reason: NeverSent})
		}
	}
}

// finish marks a as over, and emits end if the attempt is desired.
func (s *Session) finish(a *attempt, end Command) {
	a.over = true
	a.running = false
	a.end = end
	if a.wanted {
		s.emit(end)
	}
}
