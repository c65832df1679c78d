package jobservice

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// How many requests of a kind may use the store at a time, and how many more may wait for
// that. Callers need a few; a crowd of them would have all calls to the store time out, those
// of the leader too, and keep all connections of callers waiting.
const (
	maxSubmissions        = 64
	maxReads              = 32
	maxCancels            = 32
	maxWaitingSubmissions = 128
	maxWaitingReads       = 64
	maxWaitingCancels     = 64
)

// concurrency bounds the requests that use the store at a time, by kind, so that many of one
// kind leave the others their turn.
type concurrency struct{ submissions, reads, cancels *turns }

func newConcurrency() concurrency {
	return concurrency{
		submissions: newTurns(maxSubmissions, maxWaitingSubmissions),
		reads:       newTurns(maxReads, maxWaitingReads),
		cancels:     newTurns(maxCancels, maxWaitingCancels),
	}
}

// BusyError reports a request of which nothing was done, because too many others were ahead
// of it. Cause is nil if it did not wait for them.
type BusyError struct{ Cause error }

// Error implements error.
func (e *BusyError) Error() string {
	if e.Cause == nil {
		return "too many requests at a time"
	}
	return "too many requests at a time: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BusyError) Unwrap() error { return e.Cause }

// turns are those of the requests of one kind.
type turns struct {
	free       *semaphore.Weighted
	waiting    atomic.Int64
	maxWaiting int64
}

func newTurns(atATime, maxWaiting int64) *turns {
	return &turns{free: semaphore.NewWeighted(atATime), maxWaiting: maxWaiting}
}

// take waits for a turn until ctx ends. The function that it returns must be called
// afterwards. An error is a *BusyError.
func (t *turns) take(ctx context.Context) (leave func(), err error) {
	if t.free.TryAcquire(1) {
		return t.leave, nil
	}
	defer t.waiting.Add(-1)
	if t.waiting.Add(1) > t.maxWaiting {
		return nil, &BusyError{}
	}
	if err := t.free.Acquire(ctx, 1); err != nil {
		return nil, &BusyError{Cause: err}
	}
	return t.leave, nil
}

func (t *turns) leave() { t.free.Release(1) }
