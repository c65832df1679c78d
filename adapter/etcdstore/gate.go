package etcdstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/port"
)

// gate enforces a budget on calls. A nil gate admits every call.
type gate struct {
	clock  port.Clock
	random func() uint64

	mu     sync.Mutex
	budget *storebudget.Budget
}

func newGate(b *storebudget.Budget, clock port.Clock) *gate {
	if b == nil {
		return nil
	}
	return &gate{budget: b, clock: clock, random: rand.Uint64}
}

// admit returns a StoreThrottled error if the budget does not allow the call now.
func (g *gate) admit(ctx context.Context, c *call) error {
	if g == nil {
		return nil
	}
	class := classOf(ctx, c)
	g.mu.Lock()
	defer g.mu.Unlock()
	ok, retryAt := g.budget.Allow(g.clock.Now(), class, g.random())
	if ok {
		return nil
	}
	return &port.StoreError{
		Call: c.name, Kind: port.StoreThrottled, Outcome: port.OutcomeNotDone,
		Cause: &storebudget.ThrottledError{Class: class, RetryAt: retryAt},
	}
}

// observe reports the result of an admitted call to the budget. It ignores a
// call that was canceled by its caller, which shows nothing about the store.
func (g *gate) observe(ctx context.Context, c *call, err error) {
	if g == nil {
		return
	}
	result, known := resultOf(err)
	if !known {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Observe(g.clock.Now(), classOf(ctx, c), result)
}

func (g *gate) setDaemons(daemons int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetDaemons(g.clock.Now(), daemons)
}

// resultOf returns the result that the budget records for a call that returned
// err. known is false if the call shows nothing about the store.
func resultOf(err error) (result storebudget.Result, known bool) {
	var failure *port.StoreError
	if !errors.As(err, &failure) {
		return storebudget.Answered, err == nil
	}
	switch failure.Kind {
	case port.StoreUnavailable, port.StoreTimeout, port.StoreWatchBroken:
		return storebudget.Failed, true
	case etcdwire.KindOverloaded:
		return storebudget.Overloaded, true
	case port.StoreCallCanceled, port.StoreThrottled:
		return storebudget.Answered, false
	default:
		return storebudget.Answered, true
	}
}
