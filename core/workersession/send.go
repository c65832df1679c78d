package workersession

import (
	"slices"
	"time"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
)

// pump sends the next message if one is due, no call is in flight and the
// permission allows it.
func (s *Session) pump(now time.Time) {
	mode := s.permission(now)
	if s.call != nil || !s.desired || (!mode.Full && !mode.RenewOnly) {
		return
	}
	due := !now.Before(s.nextCall)
	urgent := mode.Full && !now.Before(s.retryAt) && s.anyOpen()
	if due || urgent {
		s.send(now, mode.Full, due)
	}
}

// anyOpen reports whether a command is pending.
func (s *Session) anyOpen() bool {
	for _, a := range s.attempts.sorted {
		if a.stopOpen() || a.throttleOpen() || (a.startOpen() && !s.gone) {
			return true
		}
	}
	return false
}

// anyRenewable reports whether any lease is to be renewed.
func (s *Session) anyRenewable() bool {
	return slices.ContainsFunc(s.attempts.sorted, (*attempt).renewable)
}

// send sends one message with everything that is due: renewals and, with full
// permission, commands.
func (s *Session) send(now time.Time, full, due bool) {
	s.calls++
	s.call = &call{id: s.calls, sentAt: now}
	req := &workerv1.ApplyRequest{
		Shard:       uint32(s.shard),
		Epoch:       int64(s.epoch),
		LeaseMillis: s.opt.Lease.Milliseconds(),
		Grant:       s.grant,
	}
	if full {
		req.Commands = s.commands(now)
	}
	if s.grantValid(now) && now.Sub(s.renewedAt) >= s.opt.RenewEvery/2 {
		s.renew(req)
		s.renewedAt = now
		due = true
	}
	if due {
		s.nextCall = now.Add(s.opt.RenewEvery)
	}
	if s.needReport(now) {
		req.WantReport = true
		s.call.wantReport = true
	}
	s.wantUsage(now, req)
	s.emit(Send{ID: s.call.id, Req: req, Timeout: s.opt.CallTimeout})
}

// needReport reports whether the message must request a full report: on the first
// contact, every ReportEvery, while a stop or a service's address is awaited, and
// for measurements that cannot be requested by the hash.
func (s *Session) needReport(now time.Time) bool {
	if s.grant == nil || !now.Before(s.reportAt) {
		return true
	}
	if !s.hashMatched && !now.Before(s.usageAt) {
		return true
	}
	return slices.ContainsFunc(s.attempts.sorted, (*attempt).awaitsReport)
}

// awaitsReport reports whether a needs the next report: it is a service without
// an address, or the agent has begun to stop it.
func (a *attempt) awaitsReport() bool {
	if a.over {
		return false
	}
	return a.stopAcked || (a.running && a.address == "" && a.start.GetService())
}

// commands returns the pending commands in the order of the attempts.
func (s *Session) commands(now time.Time) []*workerv1.Command {
	var list []*workerv1.Command
	for _, a := range s.attempts.sorted {
		if c := s.commandFor(now, a); c != nil {
			list = append(list, c)
		}
	}
	return list
}

// commandFor returns the pending command for a, or nil. A message has at most one
// command per attempt, so that its result is identified by the attempt alone.
func (s *Session) commandFor(now time.Time, a *attempt) *workerv1.Command {
	switch {
	case a.stopOpen():
		s.mark(a, sentStop)
		return stopCommand(a)
	case a.startOpen() && !s.gone && s.grantFresh(now):
		s.mark(a, sentStart)
		a.started = true
		s.extend(a)
		return &workerv1.Command{Kind: &workerv1.Command_Start{Start: a.start}}
	case a.throttleOpen() || a.throttleResendDue(now):
		s.mark(a, sentThrottle)
		a.throttleSent = a.throttle
		return throttleCommand(a)
	case a.over && !a.wanted:
		a.forgetCall = s.call.id
		return forgetCommand(a)
	}
	return nil
}

func (s *Session) mark(a *attempt, kind sentKind) {
	a.sentCall = s.call.id
	a.sentKind = kind
}

// throttleResendDue reports whether the throttle must be sent once more. A late
// copy of an earlier message could revert it unnoticed. After one lease the grant
// of such a copy is too old to be accepted, so one repeat is enough.
func (a *attempt) throttleResendDue(now time.Time) bool {
	return a.wanted && a.running && !a.over && a.kind != Stop &&
		!a.throttleConfirm.IsZero() && !now.Before(a.throttleConfirm)
}

// renewals returns the attempts to be renewed and extends their bounds. Attempts
// whose start is in the same message are left out: the start has its own lease.
func (s *Session) renewals() []*workerv1.TaskAttempt {
	var list []*workerv1.TaskAttempt
	for _, a := range s.attempts.sorted {
		startsNow := a.sentKind == sentStart && a.sentCall == s.call.id
		if startsNow || !a.renewable() {
			continue
		}
		s.extend(a)
		list = append(list, a.id())
	}
	return list
}

// grantValid reports whether a lease that counts from the current grant may still
// have time left.
func (s *Session) grantValid(now time.Time) bool {
	return s.grant != nil && now.Sub(s.grantAt) < s.opt.Lease
}

// grantFresh reports whether the current grant can be used for a start. A grant
// older than half a lease could let the task's lease expire before its first
// renewal.
func (s *Session) grantFresh(now time.Time) bool {
	return s.grant != nil && now.Sub(s.grantAt) <= s.opt.Lease/2
}

func stopCommand(a *attempt) *workerv1.Command {
	return &workerv1.Command{Kind: &workerv1.Command_Stop{Stop: &workerv1.Stop{
		Task: a.name, Attempt: a.number, Checkpoint: a.checkpoint,
	}}}
}

func throttleCommand(a *attempt) *workerv1.Command {
	return &workerv1.Command{Kind: &workerv1.Command_Throttle{Throttle: &workerv1.Throttle{
		Task: a.name, Attempt: a.number, Percent: a.throttle,
	}}}
}

func forgetCommand(a *attempt) *workerv1.Command {
	return &workerv1.Command{Kind: &workerv1.Command_Forget{Forget: &workerv1.TaskAttempt{
		Task: a.name, Attempt: a.number,
	}}}
}
