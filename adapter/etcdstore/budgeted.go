package etcdstore

import (
	"context"
	"time"

	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/port"
)

// BudgetedStore limits the calls to another store to a budget. A call beyond the
// budget fails with kind StoreThrottled and outcome OutcomeNotDone; its cause is
// a *storebudget.ThrottledError with the earliest time of a retry.
type BudgetedStore struct {
	store port.Store
	gate  *gate
}

var _ port.Store = (*BudgetedStore)(nil)

// Budgeted returns a BudgetedStore around a store without a budget. The budget
// must not be used elsewhere.
func Budgeted(store port.Store, budget *storebudget.Budget, clock port.Clock) *BudgetedStore {
	return &BudgetedStore{store: store, gate: newGate(budget, clock)}
}

// WithRandom replaces the random source of the jitter in retry times and returns
// b. random must be safe for concurrent use.
func (b *BudgetedStore) WithRandom(random func() uint64) *BudgetedStore {
	b.gate.random = random
	return b
}

// SetDaemons sets the number of daemons that share the store, which the budget
// depends on.
func (b *BudgetedStore) SetDaemons(daemons int) { b.gate.setDaemons(daemons) }

// budgeted runs do if the budget admits the call, and reports its result to the
// budget.
func budgeted[T any](ctx context.Context, g *gate, c *call, do func() (T, error)) (T, error) {
	if err := g.admit(ctx, c); err != nil {
		var none T
		return none, err
	}
	result, err := do()
	g.observe(ctx, c, err)
	return result, err
}

// Get implements port.Store.
func (b *BudgetedStore) Get(ctx context.Context, key string) (port.KeyValue, error) {
	return budgeted(ctx, b.gate, callGet, func() (port.KeyValue, error) {
		return b.store.Get(ctx, key)
	})
}

// List implements port.Store.
func (b *BudgetedStore) List(ctx context.Context, prefix string) ([]port.KeyValue, int64, error) {
	var revision int64
	kvs, err := budgeted(ctx, b.gate, callList, func() ([]port.KeyValue, error) {
		kvs, rev, err := b.store.List(ctx, prefix)
		revision = rev
		return kvs, err
	})
	return kvs, revision, err
}

// Txn implements port.Store.
func (b *BudgetedStore) Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	return budgeted(ctx, b.gate, callTxn, func() (port.TxnResult, error) {
		return b.store.Txn(ctx, conditions, changes)
	})
}

// GrantLease implements port.Store.
func (b *BudgetedStore) GrantLease(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	return budgeted(ctx, b.gate, callGrantLease, func() (port.LeaseID, error) {
		return b.store.GrantLease(ctx, ttl)
	})
}

// KeepAlive implements port.Store.
func (b *BudgetedStore) KeepAlive(ctx context.Context, id port.LeaseID) (time.Duration, error) {
	return budgeted(ctx, b.gate, callKeepAlive, func() (time.Duration, error) {
		return b.store.KeepAlive(ctx, id)
	})
}

// RevokeLease implements port.Store.
func (b *BudgetedStore) RevokeLease(ctx context.Context, id port.LeaseID) error {
	_, err := budgeted(ctx, b.gate, callRevokeLease, func() (struct{}, error) {
		return struct{}{}, b.store.RevokeLease(ctx, id)
	})
	return err
}

// Watch implements port.Store.
func (b *BudgetedStore) Watch(ctx context.Context, prefix string, after int64) (<-chan port.WatchEvent, error) {
	return budgeted(ctx, b.gate, callWatch, func() (<-chan port.WatchEvent, error) {
		return b.store.Watch(ctx, prefix, after)
	})
}
