package grpcrelay

import (
	"time"

	relayv1 "github.com/guavarill/guavarill/api/relay/v1"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/model"
)

func encodeOrder(o jobsched.Order) *relayv1.Order {
	return &relayv1.Order{Worker: string(o.Worker.ID), StartedMs: o.Worker.StartedMs, Address: o.Address, Epoch: int64(o.Epoch)}
}

// encodeRenew encodes a renewal. The acknowledged ends of a worker whose incarnation is
// known go into a field of their own, which earlier versions ignore: they would send
// the acknowledgement to any incarnation of the worker.
func encodeRenew(r jobsched.Renew) *relayv1.Order {
	o := encodeOrder(r.Order)
	renew := &relayv1.Renew{UntilMs: r.UntilMs, WaitMs: r.Wait.Milliseconds()}
	if r.Worker.StartedMs == 0 {
		renew.AckedEnds = r.AckedEnds
	} else {
		renew.AckedEndsOfIncarnation = r.AckedEnds
	}
	o.Kind = &relayv1.Order_Renew{Renew: renew}
	return o
}

func encodeStart(s jobsched.Start) *relayv1.Order {
	o := encodeOrder(s.Order)
	o.Kind = &relayv1.Order_Start{Start: &relayv1.Start{
		Task: s.Key.String(), Attempt: int64(s.Attempt), Payload: s.Payload, UntilMs: s.UntilMs,
		Checkpoint: s.Checkpoint, Ticket: s.Ticket,
	}}
	return o
}

func encodeStop(s jobsched.Stop) *relayv1.Order {
	o := encodeOrder(s.Order)
	o.Kind = &relayv1.Order_Stop{Stop: &relayv1.Stop{Task: s.Key.String(), Attempt: int64(s.Attempt)}}
	return o
}

func encodeThrottle(t jobsched.Throttle) *relayv1.Order {
	o := encodeOrder(t.Order)
	o.Kind = &relayv1.Order_Throttle{Throttle: &relayv1.Throttle{
		Task: t.Key.String(), Attempt: int64(t.Attempt), Percent: int64(t.Percent),
	}}
	return o
}

func decodeOrder(o *relayv1.Order) jobsched.Order {
	worker := model.Incarnation{ID: model.WorkerID(o.Worker), StartedMs: o.StartedMs}
	return jobsched.Order{Worker: worker, Address: o.Address, Epoch: model.Epoch(o.Epoch)}
}

func decodeRenew(o *relayv1.Order, r *relayv1.Renew) jobsched.Renew {
	return jobsched.Renew{
		Order: decodeOrder(o), UntilMs: r.UntilMs, AckedEnds: max(r.AckedEnds, r.AckedEndsOfIncarnation),
		Wait: time.Duration(r.WaitMs) * time.Millisecond,
	}
}

func decodeStart(o *relayv1.Order, s *relayv1.Start) (jobsched.Start, bool) {
	key, ok := job.ParseTaskKey(s.Task)
	return jobsched.Start{
		Order: decodeOrder(o), Key: key, Attempt: int(s.Attempt), Payload: s.Payload, UntilMs: s.UntilMs,
		Checkpoint: s.Checkpoint, Ticket: s.Ticket,
	}, ok
}

func decodeStop(o *relayv1.Order, s *relayv1.Stop) (jobsched.Stop, bool) {
	key, ok := job.ParseTaskKey(s.Task)
	return jobsched.Stop{Order: decodeOrder(o), Key: key, Attempt: int(s.Attempt)}, ok
}

func decodeThrottle(o *relayv1.Order, t *relayv1.Throttle) (jobsched.Throttle, bool) {
	key, ok := job.ParseTaskKey(t.Task)
	return jobsched.Throttle{Order: decodeOrder(o), Key: key, Attempt: int(t.Attempt), Percent: int(t.Percent)}, ok
}

func encodeReport(out *relayv1.Outcome, r jobsched.Report) {
	out.ClockMs, out.StartedMs = r.ClockMs, r.StartedMs
	for i := range r.Running {
		a := &r.Running[i]
		out.Running = append(out.Running, &relayv1.RunningAttempt{
			Task: a.Key.String(), Attempt: int64(a.Attempt), Checkpoint: a.Checkpoint,
			Percent: int64(a.Percent), Reading: a.Reading,
		})
	}
	for i := range r.Ended {
		e := &r.Ended[i]
		out.Ended = append(out.Ended, &relayv1.EndedAttempt{
			Number: e.Number, Task: e.Key.String(), Attempt: int64(e.Attempt), Cause: string(e.Cause), Checkpoint: e.Checkpoint,
		})
	}
}

// decodeReport decodes a report. The second result is false if the key of a task
// cannot be parsed.
func decodeReport(out *relayv1.Outcome) (jobsched.Report, bool) {
	r := jobsched.Report{
		ClockMs: out.ClockMs, StartedMs: out.StartedMs, Running: make([]jobsched.RunningAttempt, len(out.Running)),
		Ended: make([]jobsched.EndedAttempt, len(out.Ended)),
	}
	for i, a := range out.Running {
		key, ok := job.ParseTaskKey(a.Task)
		if !ok {
			return r, false
		}
		r.Running[i] = jobsched.RunningAttempt{
			Key: key, Attempt: int(a.Attempt), Checkpoint: a.Checkpoint, Percent: int(a.Percent), Reading: a.Reading,
		}
	}
	for i, e := range out.Ended {
		key, ok := job.ParseTaskKey(e.Task)
		if !ok {
			return r, false
		}
		r.Ended[i] = jobsched.EndedAttempt{
			Number: e.Number, Key: key, Attempt: int(e.Attempt), Cause: jobsched.EndCause(e.Cause), Checkpoint: e.Checkpoint,
		}
	}
	return r, true
}
