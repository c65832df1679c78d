package workersession

import "time"

// endPredecessors notes the first answer under this epoch. The agent has seen the epoch
// and obeys no earlier owner from then on, and the leases of what one renewed
// before count from grants that it issued before this answer's.
//
// Without contact, what earlier owners did is over a lease after the shard was
// acquired, as far as they did it under their own leases on the shard: an owner
// checks before each message that it may act, and uses a grant that it received
// before that check. But one of them may be cut off with a majority that finds
// the store silent, and go on renewing for as long as that lasts. Taken for over
// by a bound on that time, a task would run there and elsewhere at once, with
// the old owner's renewals still being answered. So the session waits until it
// is told that this cannot be.
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

// extend moves a's bound for a message that carries the current grant. The
// agent counts the lease from when it issued the grant, which was before
// grantAt. Counting from when the message is sent would be wrong the other
// way round: the message can be late, but never prolong the lease.
func (s *Session) extend(a *attempt) {
	bound := s.grantAt.Add(s.opt.Lease + s.opt.Margin)
	if bound.After(a.bound) {
		a.bound = bound
	}
}

// expire tells the owner of each attempt that is certainly over by time.
// Without the bound an unreachable worker's tasks could never start again;
// with a bound that is too low they would run in two places at once. Until the
// predecessors are over, not even an attempt that this owner never sent ends by
// time: it does not trust that its first Desired named everything inherited.
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

// finish marks a as over and tells the owner if it wants to know.
func (s *Session) finish(a *attempt, end Command) {
	a.over = true
	a.running = false
	a.end = end
	if a.wanted {
		s.emit(end)
	}
}
