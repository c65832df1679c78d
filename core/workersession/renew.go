package workersession

import (
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
)

// renew adds the renewals to the request of the call in flight: the hash of the
// attempts that the agent is expected to hold and, unless the latest response
// confirmed the hash, the attempts by name.
//
// Either way, the bounds are extended when the message is sent. A message whose
// response is lost may have been executed, and a delayed copy of a message that
// was answered with a mismatch may still match. Therefore no response reduces a
// bound.
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
			byHash = false // renewed by name and not in the set
		}
	}
	req.RenewHash = workerv1.RenewHash(set)
	if !byHash {
		req.Renew = listed
		return
	}
	call.byHash = true
}

// heldAfter reports whether the agent is expected to hold a, without an order to
// stop it, after it has executed the message of the given call.
func (a *attempt) heldAfter(call uint64) bool {
	if a.sentCall == call && a.sentKind == sentStop {
		return false
	}
	return a.renewable()
}

func (a *attempt) id() *workerv1.TaskAttempt {
	return &workerv1.TaskAttempt{Task: a.name, Attempt: a.number}
}

// wantUsage requests usage measurements if they are due. They can be requested
// only with a renewal by hash; otherwise they come with full reports.
func (s *Session) wantUsage(now time.Time, req *workerv1.ApplyRequest) {
	if !s.call.byHash || s.call.wantReport || now.Before(s.usageAt) {
		return
	}
	s.call.wantUsage = true
	req.WantUsage = true
	req.UsageAfterUnixMillis = s.call.oldestMeasurement()
}

// oldestMeasurement returns the time of the oldest among the latest measurements
// of the call's attempts, in Unix milliseconds. Attempts without a measurement
// are skipped; the result is 0 if none has one.
func (c *call) oldestMeasurement() int64 {
	oldest := int64(0)
	for _, a := range c.set {
		if a.measuredAt != 0 && (oldest == 0 || a.measuredAt < oldest) {
			oldest = a.measuredAt
		}
	}
	return oldest
}

// takeRenewal handles the agent's verdict on the hash. An agent that does not
// support the hash gives none, which is equivalent to a mismatch: it renewed
// nothing by the hash. Since no attempt was renewed, all are then renewed by name
// at once, and a full report is requested to find the difference.
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

// takeUsages handles the measurements of the attempts in the set of call.
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
