package workersession

import "time"

// reach tracks whether the worker is reachable.
type reach struct {
	answeredAt  time.Time // time of the latest response, or of the acquisition of the shard
	askedSince  time.Time // since when the session is permitted to send
	failures    int       // consecutive failed calls
	unreachable bool
}

// checkReach reports the worker unreachable after too many consecutive failed
// calls or too long a time without a response. It ignores whether the platform
// lists the VM, because the list is delayed and has been observed empty.
func (s *Session) checkReach(now time.Time) {
	mode := s.permission(now)
	if s.reach.unreachable || !s.desired || (!mode.Full && !mode.RenewOnly) {
		return
	}
	silentSince := s.reach.answeredAt
	if s.reach.askedSince.After(silentSince) {
		silentSince = s.reach.askedSince
	}
	silent := now.Sub(silentSince) >= s.opt.UnreachableAfter
	if !silent && s.reach.failures < s.opt.UnreachableCalls {
		return
	}
	s.reach.unreachable = true
	s.emit(Unreachable{Since: s.reach.answeredAt})
}

// answered records that the agent responded at the given time.
func (s *Session) answered(at time.Time) {
	s.reach.answeredAt = at
	s.reach.failures = 0
	if !s.reach.unreachable {
		return
	}
	s.reach.unreachable = false
	s.emit(Reachable{})
}

// callFailed ends the call in flight without a response. The agent may or may not
// have executed the request.
func (s *Session) callFailed(now time.Time) {
	s.call = nil
	s.reach.failures++
	s.renewedAt = time.Time{}
	s.hashMatched = false // until a response confirms the hash again
	s.retryAt = now.Add(s.opt.RetryEvery)
	s.nextCall = s.retryAt
	if s.reach.unreachable {
		s.nextCall = now.Add(s.opt.RenewEvery)
		s.retryAt = s.nextCall
	}
}

// giveUpCall abandons the call in flight after twice its timeout. Otherwise a
// single result that is never delivered would stop the session for good.
func (s *Session) giveUpCall(now time.Time) {
	if s.call == nil {
		return
	}
	if now.Sub(s.call.sentAt) >= callTimeoutsBeforeGiveUp*s.opt.CallTimeout {
		s.callFailed(now)
	}
}
