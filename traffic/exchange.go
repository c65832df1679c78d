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

// exchange sends the request to the chosen target. It releases the slot
// exactly once, on every path.
func (j *requestRun) exchange(ctx context.Context, choice *routing.Choice) (*Response, *ExchangeError) {
	start := j.s.e.o.Clock.Now()
	result := routing.Result{Outcome: routing.Canceled}
	held := &slot{choice: choice}
	defer func() { j.s.releaseSlot(held.take(), result) }()
	if failure := j.checkSendable(ctx, start); failure != nil {
		return nil, failure
	}
	j.attempts++
	j.s.metrics.attempts.Inc()
	address := choice.Address()
	silence := choice.SilenceAfter()
	overdue := time.AfterFunc(choice.OverdueAfter(), func() { held.reportOverdue(j.s.e.o.Clock.Now()) })
	defer overdue.Stop()
	resp, err := j.s.e.o.Target.Do(ctx, address, &Call{
		Request:       j.req,
		NewConnection: choice.RequiresNewConnection(),
		TrustSince:    choice.TrustSince(),
		SilenceAfter:  silence,
		OnSilence:     j.onSilence(held, j.attempts),
	})
	result.Latency = j.s.e.o.Clock.Now().Sub(start)
	if err != nil {
		failure := asExchangeError(address, err)
		result.Outcome = outcomeOf(ctx, failure, result.Latency >= silence)
		j.recordFailure(address, failure)
		return nil, failure
	}
	result.Outcome = routing.OK
	if resp.Status >= statusServerError {
		result.Outcome = routing.Failed
	}
	if resp.Leaving {
		j.markTargetLeaving(address)
	}
	resp.Address = address
	return resp, nil
}

// onSilence returns the callback for a silent target. It abandons the exchange
// only if the request would be sent again. Otherwise the exchange continues,
// because a slow response is better than none.
func (j *requestRun) onSilence(held *slot, attempts int) func(bool) bool {
	return func(proven bool) bool {
		now := j.s.e.o.Clock.Now()
		again := j.s.wouldRetry(now, retry.Failure{
			Fate:       fate.Unknown,
			Idempotent: j.req.Idempotent,
			Attempts:   attempts,
			Deadline:   j.deadline,
		})
		if !proven {
			held.reportOverdue(now)
			j.s.dispatch(now)
		}
		return again
	}
}

// slot guards a choice against use after its release, because the balancer
// reuses it for another request.
type slot struct {
	mu     sync.Mutex
	choice *routing.Choice
}

func (h *slot) take() *routing.Choice {
	h.mu.Lock()
	defer h.mu.Unlock()
	choice := h.choice
	h.choice = nil
	return choice
}

// reportOverdue reports to the balancer that the exchange takes longer than
// usual. It does nothing after giveBack.
func (h *slot) reportOverdue(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.choice != nil {
		h.choice.ReportOverdue(now)
	}
}

// statusServerError is the lowest HTTP status that counts as a failure of the
// target.
const statusServerError = 500

// checkSendable checks the deadline and the age of the claim just before
// sending, and returns an error if the request must not be sent. If the process
// was paused after the claim, the homes may have expired the claim and another
// entry may have sent the request. Sending it then would run it twice, and
// nothing else would detect that.
func (j *requestRun) checkSendable(ctx context.Context, now time.Time) *ExchangeError {
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

func (j *requestRun) recordFailure(address string, failure *ExchangeError) {
	j.fate = j.fate.Combine(failure.Fate())
	if failure.Fate() != fate.NotRun {
		j.unknown = failure
	}
	if !failure.ConnectionOnly {
		j.avoid = append(j.avoid, address)
	}
	if failure.Leaving {
		j.markTargetLeaving(address)
	}
}

func (j *requestRun) markTargetLeaving(address string) {
	j.s.balancer.MarkLeaving(address)
	j.s.e.o.OnLeaving(j.s.name, address)
}

// outcomeOf returns the outcome that a failed exchange reports to the balancer.
// Overdue is whether the exchange lasted at least as long as the target's
// silence limit.
func outcomeOf(ctx context.Context, x *ExchangeError, overdue bool) routing.Outcome {
	switch {
	case x.ConnectionOnly, x.Reason == fate.ReasonNoConnection:
		return routing.Canceled
	case x.Reason == fate.ReasonConnectRefused, x.Reason == fate.ReasonTargetNotStarted:
		return routing.Refused
	case x.Reason == fate.ReasonTargetSilent, x.Reason == fate.ReasonConnectFailed:
		return routing.Silent
	case ctx.Err() != nil && x.Stage == fate.AwaitingHead && overdue:
		return routing.Silent
	case ctx.Err() != nil:
		// A caller that leaves, or whose timeout is shorter than a usual
		// response time, is no evidence about the target.
		return routing.Canceled
	}
	return routing.Failed
}

func asExchangeError(address string, err error) *ExchangeError {
	var x *ExchangeError
	if errors.As(err, &x) {
		return x
	}
	// Any other error does not say how much was sent, so the request may have
	// been run.
	return &ExchangeError{
		Address: address,
		Stage:   fate.AwaitingHead,
		Sent:    fate.SentAll,
		Reason:  fate.ReasonInternal,
		Cause:   err,
	}
}
