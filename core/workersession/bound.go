package workersession

import "time"

// inheritedBound is by when all that earlier owners started or renewed is
// over. An earlier owner checks before each message that it may act, and uses
// a grant that it received before that check; so the grant was issued before
// the shard was acquired, and the lease counts from there. An owner that may
// renew through an outage of the store can do so for OutageGrace longer.
func inheritedBound(acquiredAt time.Time, clean bool, o Options) time.Time {
	bound := acquiredAt.Add(o.Lease + o.Margin)
	if !clean {
		bound = bound.Add(o.OutageGrace)
	}
	return bound
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
// with a bound that is too low they would run in two places at once.
func (s *Session) expire(now time.Time) {
	for _, a := range s.attempts.sorted {
		if a.over || !now.After(a.bound) {
			continue
		}
		if a.mayRun() {
			s.finish(a, Over{Attempt: a.key, Reason: LeaseExpired})
		} else if s.reach.lost || s.gone {
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
