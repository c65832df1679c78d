package etcdstore_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/guavarill/guavarill/adapter/etcdstore"
	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/port"
	"github.com/guavarill/guavarill/standin/store"
)

func newBudgeted(o storebudget.Options) (*store.Server, *store.ManualClock, *etcdstore.BudgetedStore) {
	clock := store.NewManualClock(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	server := store.New(store.Options{Clock: clock})
	budget := storebudget.New(clock.Now(), o)
	random := func() uint64 { return 0 }
	return server, clock, etcdstore.Budgeted(server.Local(), budget, clock).WithRandom(random)
}

func retryAt(t *testing.T, err error) time.Time {
	t.Helper()
	wantFailure(t, err, port.StoreThrottled, port.OutcomeNotDone)
	var throttled *storebudget.ThrottledError
	if !errors.As(err, &throttled) {
		t.Fatalf("cause of %v is not a ThrottledError", err)
	}
	return throttled.RetryAt
}

func TestBudgetThrottlesCalls(t *testing.T) {
	server, clock, s := newBudgeted(storebudget.Options{Daemons: 300})
	ctx := context.Background()
	var err error
	sent := 0
	for ; err == nil; sent++ {
		_, err = s.Txn(ctx, nil, put("k", "v"))
	}
	at := retryAt(t, err)
	if n := server.Calls(store.MethodTxn); n != sent-1 {
		t.Errorf("%d calls reached the store, %d were admitted", n, sent-1)
	}
	if _, err := s.GrantLease(ctx, time.Minute); err != nil {
		t.Errorf("lease after commits: %v", err)
	}
	clock.Advance(at.Sub(clock.Now()) + 2*time.Second)
	if _, err := s.Txn(ctx, nil, put("k", "v")); err != nil {
		t.Errorf("commit after its retry time: %v", err)
	}
}

func TestPollsAreThrottledBeforeReads(t *testing.T) {
	_, _, s := newBudgeted(storebudget.Options{Daemons: 1000, StoreReads: 1})
	poll := etcdstore.WithClass(context.Background(), storebudget.ClassPoll)
	var err error
	for err == nil {
		_, err = s.Get(poll, "k")
	}
	retryAt(t, err)
	if _, err := s.Get(context.Background(), "k"); err != nil {
		t.Errorf("read after polls: %v", err)
	}
}

func TestFailureThrottlesCallsUntilAProbeSucceeds(t *testing.T) {
	server, clock, s := newBudgeted(storebudget.Options{Daemons: 7})
	ctx := context.Background()
	server.Down()
	_, err := s.Txn(ctx, nil, put("k", "v"))
	wantFailure(t, err, port.StoreUnavailable, port.OutcomeNotDone)
	_, err = s.Txn(ctx, nil, put("k", "v"))
	at := retryAt(t, err)
	server.Up()
	clock.Advance(at.Sub(clock.Now()))
	if _, err := s.Txn(ctx, nil, put("k", "v")); err != nil {
		t.Errorf("probe: %v", err)
	}
	if _, err := s.Txn(ctx, nil, put("k", "v")); err != nil {
		t.Errorf("after the probe: %v", err)
	}
}

func TestRefusalsOfTheStoreAreNoFailures(t *testing.T) {
	_, _, s := newBudgeted(storebudget.Options{Daemons: 7})
	for range 4 {
		_, err := s.KeepAlive(context.Background(), 99)
		wantFailure(t, err, port.StoreLeaseNotFound, port.OutcomeNotDone)
	}
}

func TestStoreKeepsToTheBudgetOfItsOptions(t *testing.T) {
	server, addr := startServer(t, store.Options{})
	budget := storebudget.New(time.Now(), storebudget.Options{Daemons: 1000, StoreReads: 1, MinReads: 0.001})
	s := newStore(t, etcdstore.Options{Endpoint: addr, CallTimeout: waitTimeout, Budget: budget})
	poll := etcdstore.WithClass(context.Background(), storebudget.ClassPoll)
	var err error
	sent := 0
	for ; err == nil; sent++ {
		_, err = s.Get(poll, "k")
	}
	retryAt(t, err)
	_, err = s.Watch(poll, "k", 0)
	retryAt(t, err)
	if n := server.Calls(store.MethodRange); n != sent-1 {
		t.Errorf("%d calls reached the store, %d were admitted", n, sent-1)
	}
}
