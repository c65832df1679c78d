package traffic

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/guavarill/guavarill/core/admission"
	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/retry"
	"github.com/guavarill/guavarill/core/routing"
)

// requestRun is the state of one request until its fate is final. It is owned
// by the caller's goroutine.
type requestRun struct {
	s        *service
	req      *Request
	deadline time.Time
	enqueued time.Time
	// generated is set if the engine generated the id, so that no earlier
	// request can have used it.
	generated bool

	// fate is the combined fate of the exchanges so far; NotRun before the
	// first.
	fate     fate.Fate
	attempts int
	avoid    []string
	// unknown is the error of the last exchange that may have run the request.
	unknown *ExchangeError

	claim     dedup.Request
	claimed   bool
	claimedAt time.Time
}

func ensureID(req *Request) (*Request, bool) {
	if req.ID != "" {
		return req, false
	}
	named := *req
	named.ID = uuid.Must(uuid.NewV7()).String()
	return &named, true
}

func (s *service) do(ctx context.Context, req *Request, generated bool) (*Response, error) {
	start := s.e.o.Clock.Now()
	settings := s.settings.Load()
	timeout := settings.Timeout
	if req.Timeout > 0 {
		timeout = min(req.Timeout, settings.MaxTimeout)
	}
	j := &requestRun{
		s:         s,
		req:       req,
		deadline:  start.Add(timeout),
		enqueued:  start,
		generated: generated,
		fate:      fate.NotRun,
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	s.metrics.inFlight.Inc()
	s.inFlight.Add(1)
	defer s.metrics.inFlight.Dec()
	defer s.inFlight.Add(-1)
	resp, err := j.run(ctx)
	s.metrics.observeFinished(err, s.e.o.Clock.Now().Sub(start).Seconds())
	if err != nil {
		return nil, err
	}
	resp.RequestID = req.ID
	resp.Attempts = j.attempts
	return resp, nil
}

func (j *requestRun) run(ctx context.Context) (*Response, *fate.Error) {
	resp, err := j.deliver(ctx)
	if err == nil {
		return resp, nil
	}
	err.Service = j.req.Service
	err.RequestID = j.req.ID
	err.Attempts = j.attempts
	if err.Fate == fate.NotRun && j.claimed {
		j.s.e.o.Claims.Release(j.claim)
	}
	return nil, err
}

// deliver sends the request, with retries, until it is answered or fails.
func (j *requestRun) deliver(ctx context.Context) (*Response, *fate.Error) {
	choice, err := j.admit(ctx)
	if err != nil {
		return nil, j.finalError(err)
	}
	j.s.depositRetryBudget()
	for {
		resp, failure := j.exchange(ctx, choice)
		if failure == nil {
			return resp, nil
		}
		if v := j.decideRetry(ctx, failure); v != retry.Send {
			return nil, j.failureError(ctx, failure, v)
		}
		w, err := j.s.enqueue(j.ticket(), j.query())
		if err != nil {
			return nil, j.finalError(err)
		}
		choice, err = j.s.wait(ctx, w)
		if err != nil {
			return nil, j.finalError(err)
		}
	}
}

// admit acquires the first slot and, for a non-idempotent request, claims its
// id. If the request has to queue, the claim is made while it waits. A request
// that is shed at once makes no claim, because most requests are shed under
// overload. If a slot is free, the claim is made first, so that the slot is
// not held idle during the claim's round trip.
func (j *requestRun) admit(ctx context.Context) (*routing.Choice, *fate.Error) {
	claims := !j.req.Idempotent && j.s.e.o.Claims != nil
	early := claims && j.s.idle()
	if early {
		if err := j.makeClaim(ctx); err != nil {
			return nil, err
		}
	}
	w, err := j.s.enqueue(j.ticket(), j.query())
	if err != nil {
		return nil, err
	}
	if claims && !early {
		if err := j.makeClaim(ctx); err != nil {
			j.s.withdraw(w)
			return nil, err
		}
	}
	return j.s.wait(ctx, w)
}

func (j *requestRun) ticket() admission.Ticket {
	return admission.Ticket{
		ID:       j.s.e.ids.Add(1),
		Priority: priorityOf(j.req.Priority),
		Deadline: j.deadline,
		Enqueued: j.enqueued,
	}
}

func (j *requestRun) query() routing.Query {
	return routing.Query{Avoid: j.avoid, NonIdempotent: !j.req.Idempotent}
}

// decideRetry decides whether the request is sent again after a failed
// exchange.
func (j *requestRun) decideRetry(ctx context.Context, failure *ExchangeError) retry.Verdict {
	if ctx.Err() != nil || failure.Reason == fate.ReasonClaimExpired {
		return retry.TooLate
	}
	if failure.Reason == fate.ReasonInvalidRequest {
		return retry.TooManyAttempts
	}
	return j.s.decide(j.s.e.o.Clock.Now(), retry.Failure{
		Fate:       failure.Fate(),
		Idempotent: j.req.Idempotent,
		Attempts:   j.attempts,
		Deadline:   j.deadline,
	})
}

func (j *requestRun) failureError(ctx context.Context, failure *ExchangeError, v retry.Verdict) *fate.Error {
	err := &fate.Error{
		Fate:       failure.Fate(),
		Reason:     failure.Reason,
		RetryAfter: failure.RetryAfter,
		Cause:      failure,
	}
	if ctx.Err() != nil {
		err.Reason = reasonOf(ctx)
	}
	if v == retry.OverBudget && err.RetryAfter == 0 {
		err.RetryAfter = j.s.retryAfter(j.ticket())
	}
	return j.finalError(err)
}

// finalError returns err as the final error of the request. If an earlier
// exchange may have run the request, the fate stays Unknown even if the last
// failure was NotRun, and the error reports that earlier exchange.
func (j *requestRun) finalError(err *fate.Error) *fate.Error {
	last := err.Fate
	err.Fate = j.fate.Combine(last)
	if last == fate.NotRun && err.Fate == fate.Unknown {
		err.Reason = j.unknown.Reason
		err.Cause = j.unknown
		err.RetryAfter = 0
	}
	if err.Fate == fate.NotRun && err.RetryAfter == 0 && err.Reason != fate.ReasonUnknownService {
		err.RetryAfter = j.s.retryAfter(j.ticket())
	}
	return err
}
