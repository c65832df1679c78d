package traffic

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/retry"
	"github.com/guavarill/guavarill/core/routing"
)

// exchange sends the request to the chosen target and gives the slot back,
// exactly once, whatever happens.
func (j *journey) exchange(ctx context.Context, choice *routing.Choice) (*Response, *ExchangeError) {
	start := j.s.e.o.Clock.Now()
	result := routing.Result{Outcome: routing.Canceled}
	held := &slot{choice: choice}
	defer func() { j.s.released(held.giveBack(), result) }()
	if failure := j.mayNotSend(ctx, start); failure != nil {
		return nil, failure
	}
	j.attempts++
	j.s.metrics.attempts.Inc()
	address := choice.Address()
	silence := choice.SilenceAfter()
	overdue := time.AfterFunc(choice.OverdueAfter(), func() { held.overdue(j.s.e.o.Clock.Now()) })
	defer overdue.Stop()
	resp, err := j.s.e.o.Target.Do(ctx, address, &Call{
		Request:      j.req,
		Fresh:        choice.RequiresNewConnection(),
		TrustSince:   choice.TrustSince(),
		SilenceAfter: silence,
		Silent:       j.onSilence(held, j.attempts),
	})
	result.Latency = j.s.e.o.Clock.Now().Sub(start)
	if err != nil {
		failure := asExchangeError(address, err)
		result.Outcome = outcomeOf(ctx, failure, result.Latency >= silence)
		j.failed(address, failure)
		return nil, failure
	}
	result.Outcome = routing.OK
	if resp.Status >= statusServerError {
		result.Outcome = routing.Failed
	}
	if resp.Leaving {
		j.targetLeaves(address)
	}
	resp.Address = address
	return resp, nil
}

// onSilence gives an exchange up only when the request would be sent again:
// otherwise a slow answer is still worth waiting for.
func (j *journey) onSilence(held *slot, attempts int) func(bool) bool {
	return func(proven bool) bool {
		now := j.s.e.o.Clock.Now()
		again := j.s.wouldRetry(now, retry.Failure{
			Fate:       fate.Unknown,
			Idempotent: j.req.Idempotent,
			Attempts:   attempts,
			Deadline:   j.deadline,
		})
		if !proven {
			held.overdue(now)
			j.s.dispatch(now)
		}
		return again
	}
}

// slot is a choice that must not be touched once it was given back, since the
// balancer uses it again for another request.
type slot struct {
	mu     sync.Mutex
	choice *routing.Choice
}

func (h *slot) giveBack() *routing.Choice {
	h.mu.Lock()
	defer h.mu.Unlock()
	choice := h.choice
	h.choice = nil
	return choice
}

// overdue tells the balancer that the exchange lasts longer than is usual.
func (h *slot) overdue(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.choice != nil {
		h.choice.ReportOverdue(now)
	}
}

// statusServerError is the first status by which a target reports a failure
// of its own.
const statusServerError = 500

// mayNotSend looks at the clock a last time. A process that was paused since
// the claim may find that the homes have meanwhile forgotten it and another
// entry has sent the request; one would notice only by the second run.
func (j *journey) mayNotSend(ctx context.Context, now time.Time) *ExchangeError {
	switch {
	case ctx.Err() != nil:
		return &ExchangeError{Reason: reasonOf(ctx), Cause: ctx.Err()}
	case !now.Before(j.deadline):
		return &ExchangeError{Reason: fate.ReasonDeadline, Cause: context.DeadlineExceeded}
	case j.claimed && now.Sub(j.claimedAt) >= j.s.e.o.ClaimMaxAge:
		return &ExchangeError{Reason: fate.ReasonClaimExpired}
	}
	return nil
}

func (j *journey) failed(address string, failure *ExchangeError) {
	j.fate = j.fate.Combine(failure.Fate())
	if failure.Fate() != fate.NotRun {
		j.unknown = failure
	}
	if !failure.ConnectionOnly {
		j.avoid = append(j.avoid, address)
	}
	if failure.Leaving {
		j.targetLeaves(address)
	}
}

func (j *journey) targetLeaves(address string) {
	j.s.balancer.MarkLeaving(address)
	j.s.e.o.OnLeaving(j.s.name, address)
}

// outcomeOf says what a failed exchange tells of the target. Overdue is whether
// it lasted longer than an answer plausibly takes.
func outcomeOf(ctx context.Context, x *ExchangeError, overdue bool) routing.Outcome {
	switch {
	case x.ConnectionOnly, x.Reason == fate.ReasonNoConnection:
		return routing.Canceled
	case x.Reason == fate.ReasonConnectRefused, x.Reason == fate.ReasonTargetNotStarted:
		return routing.Refused
	case x.Reason == fate.ReasonTargetSilent, x.Reason == fate.ReasonConnectFailed:
		return routing.Silent
	case ctx.Err() != nil && x.Point == fate.AwaitingHead && overdue:
		return routing.Silent
	case ctx.Err() != nil:
		// A caller that goes away, or allows less time than an answer usually
		// takes, says nothing of the target.
		return routing.Canceled
	}
	return routing.Failed
}

func asExchangeError(address string, err error) *ExchangeError {
	var x *ExchangeError
	if errors.As(err, &x) {
		return x
	}
	// A target that returns another error gives no account of what it sent.
	return &ExchangeError{
		Address: address,
		Point:   fate.AwaitingHead,
		Sent:    fate.SentAll,
		Reason:  fate.ReasonInternal,
		Cause:   err,
	}
}
