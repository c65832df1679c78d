package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/guavarill/guavarill/adapter/etcdstore"
	"github.com/guavarill/guavarill/core/membership"
	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/port"
)

// storeCall runs one call of the store outside the control loop. call makes
// the event that takes the answer; err is what the call returned.
func (c *control) storeCall(class storebudget.Class, call func(ctx context.Context) (event, error)) {
	c.storeCalls++
	c.exec.start(func() event {
		ctx, cancel := context.WithTimeout(etcdstore.WithClass(c.ctx, class), c.o.Timing.StoreCall)
		defer cancel()
		answer, err := call(ctx)
		return storeAnswered{answer: answer, heard: heardFromStore(err), unsent: neverSent(err)}
	})
}

// storeAnswered wraps the answer of any store call.
type storeAnswered struct {
	answer event
	heard  bool
	// unsent is whether the call failed before the store could have seen it.
	unsent bool
}

func (ev storeAnswered) apply(c *control) {
	c.storeCalls--
	switch {
	case ev.heard:
		c.storeFailed = false
		c.storeAnswered = c.clock.Now()
	case !ev.unsent:
		c.storeFailed = true
	}
	if ev.answer != nil {
		ev.answer.apply(c)
	}
}

// countStoreSilence lets silence count only from a call that was not answered.
// A daemon that owns nothing has no reason to call for many seconds. Counted
// as silence, that would confirm to an owner which lost its own way to the
// store that the store is down for all, and it would go on renewing leases.
func (c *control) countStoreSilence(now time.Time) {
	if c.storeCalls == 0 && !c.storeFailed {
		c.storeAnswered = now
	}
}

// probeStore has this daemon see for itself when another one says that the
// store is silent. An owner needs a majority's word to go on renewing leases in
// an outage, and daemons that own nothing would notice it too late.
func (c *control) probeStore(now time.Time) {
	if c.storeCalls > 0 || now.Before(c.periods.probe) {
		return
	}
	c.periods.probe = now.Add(storeProbeEvery)
	for _, m := range c.members.View().Members {
		if m.State == membership.Alive && m.StoreSilent >= storeProbeEvery {
			c.periods.topology = now
			return
		}
	}
}

// storeProbeEvery is the time between two looks at the others' word.
const storeProbeEvery = 2 * time.Second

// neverSent reports whether a call failed in this daemon itself.
func neverSent(err error) bool {
	var failed *port.StoreError
	if !errors.As(err, &failed) {
		return false
	}
	return failed.Kind == port.StoreThrottled || failed.Kind == port.StoreCallCanceled
}

// heardFromStore reports whether a call's result came from the store itself.
func heardFromStore(err error) bool {
	if err == nil {
		return true
	}
	var failed *port.StoreError
	if !errors.As(err, &failed) {
		return false
	}
	switch failed.Kind {
	case port.StoreLeaseNotFound, port.StoreCompacted:
		return true
	}
	return false
}

// txn runs a transaction and passes its result to then.
func (c *control) txn(class storebudget.Class, conditions []port.Condition, ops []port.Op, then func(port.TxnResult, error) event) {
	c.storeCall(class, func(ctx context.Context) (event, error) {
		result, err := c.o.Ports.Store.Txn(ctx, conditions, ops)
		return then(result, err), err
	})
}

// list reads all keys under prefix and passes them to then.
func (c *control) list(class storebudget.Class, prefix string, then func([]port.KeyValue, int64, error) event) {
	c.storeCall(class, func(ctx context.Context) (event, error) {
		kvs, revision, err := c.o.Ports.Store.List(ctx, prefix)
		return then(kvs, revision, err), err
	})
}

// get reads one key and passes it to then.
func (c *control) get(class storebudget.Class, key string, then func(port.KeyValue, error) event) {
	c.storeCall(class, func(ctx context.Context) (event, error) {
		kv, err := c.o.Ports.Store.Get(ctx, key)
		return then(kv, err), err
	})
}

// poll reads one key on a fresh connection: an open one that went silent would
// hide the very change that the poll is to find. Beside the key it passes the
// store's revision at which the key was so, which only a list gives.
func (c *control) poll(key string, then func(port.KeyValue, int64, error) event) {
	c.storeCall(storebudget.ClassPoll, func(ctx context.Context) (event, error) {
		kvs, revision, err := c.o.Ports.Store.List(etcdstore.WithFreshConnection(ctx), key)
		return then(only(kvs, key), revision, err), err
	})
}

// only returns the named key of a list, one with ModRevision 0 when it is not
// there.
func only(kvs []port.KeyValue, key string) port.KeyValue {
	for _, kv := range kvs {
		if kv.Key == key {
			return kv
		}
	}
	return port.KeyValue{Key: key}
}
