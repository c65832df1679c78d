package workersession

import "time"

// reach tells a silent worker from one that answers.
type reach struct {
	answeredAt  time.Time // the latest answer, or the session's begin
	askedSince  time.Time // since when the session may ask
	failures    int       // calls failed in a row
	unreachable bool
}

// checkReach reports the worker unreachable after too many failed calls or
// too long a silence. A VM missing from the platform's list plays no part: the
// list is late and has been seen empty.
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

// answered notes that the agent answered at the given time.
func (s *Session) answered(at time.Time) {
	s.reach.answeredAt = at
	s.reach.failures = 0
	if !s.reach.unreachable {
		return
	}
	s.reach.unreachable = false
	s.emit(Reachable{})
}

// callFailed ends the call in flight without an answer. What it carried may
// or may not have been carried out.
func (s *Session) callFailed(now time.Time) {
	s.call = nil
	s.reach.failures++
	s.renewedAt = time.Time{}
	s.hashMatched = false // until an answer says so again
	s.retryAt = now.Add(s.opt.RetryEvery)
	s.nextCall = s.retryAt
	if s.reach.unreachable {
		s.nextCall = now.Add(s.opt.RenewEvery)
		s.retryAt = s.nextCall
	}
}

// giveUpCall ends a call of which nothing was heard for far longer than its
// timeout, so that one lost completion cannot silence the session for good.
func (s *Session) giveUpCall(now time.Time) {
	if s.call == nil {
		return
	}
	if now.Sub(s.call.sentAt) >= callTimeoutsBeforeGiveUp*s.opt.CallTimeout {
		s.callFailed(now)
	}
}
