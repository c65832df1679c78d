package workersession

import (
	"slices"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// onAnswered handles the result of a call. Only the call in flight counts: the
// result of an abandoned call, or a duplicate, describes a state of the worker
// from before a later response and could revive attempts that are over.
func (s *Session) onAnswered(now time.Time, ev Answered) {
	if s.call == nil || ev.ID != s.call.id {
		return
	}
	if !ev.usable(s.epoch) {
		s.callFailed(now)
		return
	}
	if refused := model.Epoch(ev.Resp.GetRefusedEpoch()); refused > s.epoch {
		s.fenced = true
		s.emit(Fenced{Epoch: refused})
		return
	}
	receivedAt := ev.ReceivedAt
	if receivedAt.IsZero() {
		receivedAt = now // a time that is too late only extends the bounds
	}
	call := s.call
	s.call = nil
	s.answered(receivedAt)
	s.takeGrant(now, ev.Resp.GetGrant(), receivedAt)
	s.takeResults(now, call, ev.Resp.GetResults())
	s.takeReports(ev.Resp.GetTasks())
	s.takeStale(call)
	s.takeUsages(call, ev.Resp)
	if call.wantReport {
		s.reportAt = call.sentAt.Add(s.opt.ReportEvery)
		s.usageAt = call.sentAt.Add(s.opt.UsageEvery)
		s.takeMissing(call, ev.Resp.GetTasks())
	}
	s.dropForgotten(call)
	s.delayOpenCommands(now, call)
	s.takeRenewal(now, call, ev.Resp)
	s.takeLeaving(ev.Resp.GetLeaving())
	s.advanceNextCall(now)
}

// received returns the later of now and the time of receipt. The permission to
// act must be evaluated no earlier than the receipt of the grant that is used.
func (ev Answered) received(now time.Time) time.Time {
	if ev.ReceivedAt.After(now) {
		return ev.ReceivedAt
	}
	return now
}

// usable reports whether the call succeeded and its response is valid: it either
// refuses the epoch in favour of a higher one or carries a grant.
func (ev Answered) usable(epoch model.Epoch) bool {
	if ev.Err != nil || ev.Resp == nil {
		return false
	}
	refused := model.Epoch(ev.Resp.GetRefusedEpoch())
	return refused > epoch || refused == 0 && ev.Resp.GetGrant() != nil
}

// takeGrant stores the grant for the next message. A new boot ID means that the
// agent restarted and lost its tasks. Every attempt that may have started is
// then over for good, because earlier messages carry a grant of the old boot,
// which the agent refuses after its restart.
func (s *Session) takeGrant(now time.Time, g *workerv1.Grant, receivedAt time.Time) {
	usable := s.grantValid(now)
	restarted := s.grant != nil && s.grant.GetBootId() != g.GetBootId()
	s.grant = g
	s.grantAt = receivedAt
	s.endPredecessors()
	if restarted {
		s.hashMatched = false
		s.endAll()
	}
	if !usable && s.anyRenewable() {
		s.nextCall = now // renew at once: without a valid grant it was impossible
		s.renewedAt = time.Time{}
	}
}

// endAll ends every attempt that may have started before a restart of the agent.
func (s *Session) endAll() {
	for _, a := range s.attempts.sorted {
		if !a.over && a.mayRun() {
			s.finish(a, Over{Attempt: a.key, Reason: WorkerRestarted})
		}
	}
}

// takeResults handles the results of the commands that call carried.
func (s *Session) takeResults(now time.Time, call *call, results []*workerv1.CommandResult) {
	for _, r := range results {
		a := s.attempts.find(r.GetTask(), r.GetAttempt())
		if a == nil || a.over || a.sentCall != call.id {
			continue
		}
		switch a.sentKind {
		case sentStart:
			s.startResult(a, r)
		case sentStop:
			s.stopResult(a, r)
		case sentThrottle:
			s.throttleResult(now, a, r)
		}
	}
}

// startResult handles the result of a Start. A refusal because of missing
// resources or a failure is final: the agent remembers it and refuses late
// copies, too.
func (s *Session) startResult(a *attempt, r *workerv1.CommandResult) {
	switch r.GetOutcome() {
	case workerv1.Outcome_OUTCOME_DONE:
		s.takeRunning(a, "")
		a.throttleAcked = unthrottled
	case workerv1.Outcome_OUTCOME_NO_ROOM, workerv1.Outcome_OUTCOME_FAILED:
		s.finish(a, Observed{
			Attempt: a.key,
			State:   StateRefused,
			Outcome: r.GetOutcome(),
			Detail:  r.GetDetail(),
		})
	case workerv1.Outcome_OUTCOME_STALE:
		a.sentKind = sentStale // takeStale ends it unless a report in this response does
	}
}

// stopResult handles the result of a Stop. DONE means that the agent has stopped
// the attempt or, if the checkpoint takes time, is about to. The attempt ends
// only when a report shows its end.
func (s *Session) stopResult(a *attempt, r *workerv1.CommandResult) {
	switch r.GetOutcome() {
	case workerv1.Outcome_OUTCOME_DONE:
		a.stopAcked = true
		a.stopCheckpoint = r.GetCheckpoint()
	case workerv1.Outcome_OUTCOME_STALE:
		a.sentKind = sentStale // see startResult
	}
}

func (s *Session) throttleResult(now time.Time, a *attempt, r *workerv1.CommandResult) {
	if r.GetOutcome() != workerv1.Outcome_OUTCOME_DONE {
		return
	}
	if a.throttleAcked == a.throttleSent {
		a.throttleConfirm = time.Time{}
		return
	}
	a.throttleAcked = a.throttleSent
	a.throttleConfirm = now.Add(s.opt.Lease)
}

// takeStale ends the attempts whose command the agent rejected as stale and that
// it did not report as over. The agent knows a newer attempt of the task.
func (s *Session) takeStale(call *call) {
	for _, a := range s.attempts.sorted {
		if !a.over && a.sentCall == call.id && a.sentKind == sentStale {
			s.finish(a, Over{Attempt: a.key, Reason: Superseded})
		}
	}
}

// dropForgotten drops the attempts for which call carried a Forget command.
func (s *Session) dropForgotten(call *call) {
	s.attempts.removeIf(func(a *attempt) bool { return a.forgetCall == call.id })
}

// delayOpenCommands holds all commands back for RetryEvery if a command that call
// carried was not executed. Without the delay, a command that the agent declines
// without ending the attempt would be repeated as fast as the agent responds.
func (s *Session) delayOpenCommands(now time.Time, call *call) {
	for _, a := range s.attempts.sorted {
		if a.sentCall == call.id && a.open() {
			s.retryAt = now.Add(s.opt.RetryEvery)
			return
		}
	}
}

func (s *Session) takeLeaving(leaving bool) {
	if !leaving || s.leaving {
		return
	}
	s.leaving = true
	s.emit(Leaving{})
}

// advanceNextCall schedules the next message early while the agent is stopping an
// attempt or starting a service.
func (s *Session) advanceNextCall(now time.Time) {
	soon := now.Add(s.opt.RetryEvery)
	if !soon.Before(s.nextCall) {
		return
	}
	if slices.ContainsFunc(s.attempts.sorted, (*attempt).awaitsReport) {
		s.nextCall = soon
	}
}
