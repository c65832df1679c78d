package workersession

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
)

// renew adds the renewals to the message of the call in flight: the hash of
// what the agent is taken to hold, and the attempts by name unless the agent's
// latest answer found the same hash.
//
// Whichever way they travel, the bounds move when the message leaves. A message
// whose answer is lost may have been carried out, and one that was answered by
// a mismatch may have a copy under way that will match. So no answer takes a
// bound back.
func (s *Session) renew(req *workerv1.ApplyRequest) {
	call := s.call
	call.hashed = true
	listed := s.renewals()
	var set []*workerv1.TaskAttempt
	byHash := s.hashMatched
	for _, a := range s.attempts.sorted {
		if a.heldAfter(call.id) {
			set = append(set, a.id())
			call.set = append(call.set, a)
		} else if a.renewable() {
			byHash = false // listed, and no part of the set
		}
	}
	req.RenewHash = workerv1.RenewHash(set)
	if !byHash {
		req.Renew = listed
		return
	}
	call.byHash = true
}

// heldAfter reports whether the agent is taken to hold a, not told to stop it,
// once it carried out the message of the given call.
func (a *attempt) heldAfter(call uint64) bool {
	if a.sentCall == call && a.sentKind == sentStop {
		return false
	}
	return a.renewable()
}

func (a *attempt) id() *workerv1.TaskAttempt {
	return &workerv1.TaskAttempt{Task: a.name, Attempt: a.number}
}

// wantUsage asks for measurements when they are due. They can be asked for by
// hash only; otherwise whole reports bring them.
func (s *Session) wantUsage(now time.Time, req *workerv1.ApplyRequest) {
	if !s.call.byHash || s.call.wantReport || now.Before(s.usageAt) {
		return
	}
	s.call.wantUsage = true
	req.WantUsage = true
	req.UsageAfterUnixMillis = s.call.oldestMeasurement()
}

// oldestMeasurement returns the oldest of the latest measurements of the call's
// attempts, without those that were never measured; 0 if there is none.
func (c *call) oldestMeasurement() int64 {
	oldest := int64(0)
	for _, a := range c.set {
		if a.measuredAt != 0 && (oldest == 0 || a.measuredAt < oldest) {
			oldest = a.measuredAt
		}
	}
	return oldest
}

// takeRenewal takes what the agent says of the hash. An agent that does not
// know the field says nothing, which is as good as a mismatch: it renewed
// nothing by the hash. The attempts are then renewed by name at once, since
// none was, and a whole report is asked for, since something differs.
func (s *Session) takeRenewal(now time.Time, call *call, resp *workerv1.ApplyResponse) {
	if !call.hashed {
		return
	}
	s.hashMatched = resp.GetRenewMatched()
	if s.hashMatched || !call.byHash {
		return
	}
	s.reportAt = time.Time{}
	if s.anyRenewable() {
		s.nextCall = now
		s.renewedAt = time.Time{}
	}
}

// takeUsages takes measurements of the attempts that call's hash stood for.
func (s *Session) takeUsages(call *call, resp *workerv1.ApplyResponse) {
	if !call.wantUsage || !resp.GetRenewMatched() {
		return
	}
	s.usageAt = call.sentAt.Add(s.opt.UsageEvery)
	for _, u := range resp.GetUsages() {
		if at := int(u.GetPosition()); at < len(call.set) && !call.set[at].over {
			s.takeUsage(call.set[at], u.GetUsage())
		}
	}
}
