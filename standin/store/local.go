package store

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
	"github.com/guavarill/guavarill/port"
)

// FaultError is the cause of a failure that a simulated fault produced.
type FaultError struct {
	Fault string
}

// Error implements error.
func (e *FaultError) Error() string { return fmt.Sprintf("fault: %s", e.Fault) }

// Local is a client of the stand-in without sockets. Its calls return at once and
// need no goroutine, so that the results in a test depend only on the order of the
// test's own calls. Faults have the same outcomes as over a socket:
//
//   - Down: StoreUnavailable, not done; watches break.
//   - LoseAnswer, DropBefore: StoreUnavailable or, with LossHang,
//     StoreTimeout; unknown.
//   - Slow at or above Options.LocalTimeout: StoreTimeout, unknown, with
//     effect.
//   - SilenceConnections: the next call of each Local times out without effect,
//     and open watches deliver no more events.
type Local struct {
	s      *Server
	silent atomic.Bool
	// watches is guarded by the state's mutex.
	watches []*localWatch
}

var _ port.Store = (*Local)(nil)

// Local returns an in-process client of the stand-in, which works without Start.
func (s *Server) Local() *Local {
	l := &Local{s: s}
	s.localsMu.Lock()
	defer s.localsMu.Unlock()
	s.locals = append(s.locals, l)
	return l
}

// localCall is the name and the method of one call.
type localCall struct {
	name   string
	method Method
}

var (
	localGetCall   = localCall{"Get", MethodRange}
	localListCall  = localCall{"List", MethodRange}
	localTxnCall   = localCall{"Txn", MethodTxn}
	localGrantCall = localCall{"GrantLease", MethodLeaseGrant}
	localRenewCall = localCall{"KeepAlive", MethodLeaseKeepAlive}
	localEndCall   = localCall{"RevokeLease", MethodLeaseRevoke}
	localWatchCall = localCall{"Watch", MethodWatch}
)

func (c localCall) fail(kind port.StoreErrorKind, outcome port.Outcome, cause error) *port.StoreError {
	return &port.StoreError{Call: c.name, Kind: kind, Outcome: outcome, Cause: cause}
}

// lost returns the error of a call that gets no response.
func (c localCall) lost(kind port.StoreErrorKind, fault string) *port.StoreError {
	outcome := port.OutcomeNotDone
	if c.method.Mutates() {
		outcome = port.OutcomeUnknown
	}
	return c.fail(kind, outcome, &FaultError{Fault: fault})
}

func (c localCall) lostBy(how Loss, fault string) *port.StoreError {
	if how == LossHang {
		return c.lost(port.StoreTimeout, fault)
	}
	return c.lost(port.StoreUnavailable, fault)
}

func (c localCall) refused(err error) error {
	var refusal *etcdwire.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	kind, notDone := refusal.Classify()
	outcome := port.OutcomeNotDone
	if c.method.Mutates() && !notDone {
		outcome = port.OutcomeUnknown
	}
	return c.fail(kind, outcome, refusal)
}

// callLocal executes one call, unless a fault drops the call. It returns an error if
// a fault drops the call or its response.
func callLocal[T any](ctx context.Context, l *Local, c localCall, effect func() (T, error)) (T, error) {
	var none T
	if err := ctx.Err(); err != nil {
		return none, c.fail(port.StoreCallCanceled, port.OutcomeNotDone, err)
	}
	if l.silent.Swap(false) {
		return none, c.lost(port.StoreTimeout, "silent connection")
	}
	if l.s.faults.isDown() {
		return none, c.fail(port.StoreUnavailable, port.OutcomeNotDone, &FaultError{Fault: "down"})
	}
	p := l.s.faults.plan(c.method)
	if err := l.s.meter.count(c.method); err != nil {
		return none, c.refused(err)
	}
	if p.dropped {
		return none, c.lostBy(p.how, "dropped before its effect")
	}
	answer, err := effect()
	if p.lost {
		return none, c.lostBy(p.how, "answer lost")
	}
	if p.slow >= l.s.o.LocalTimeout {
		return none, c.lost(port.StoreTimeout, "slow")
	}
	if err != nil {
		return none, c.refused(err)
	}
	return answer, nil
}

// Get implements port.Store.
func (l *Local) Get(ctx context.Context, key string) (port.KeyValue, error) {
	return callLocal(ctx, l, localGetCall, func() (port.KeyValue, error) {
		resp, err := l.s.state.rangeKeys(etcdwire.GetRequest(key))
		if err != nil || len(resp.Kvs) == 0 {
			return port.KeyValue{Key: key}, err
		}
		return etcdwire.KeyValue(resp.Kvs[0]), nil
	})
}

// List implements port.Store.
func (l *Local) List(ctx context.Context, prefix string) ([]port.KeyValue, int64, error) {
	resp, err := callLocal(ctx, l, localListCall, func() (*etcdv3.RangeResponse, error) {
		return l.s.state.rangeKeys(etcdwire.ListRequest(prefix))
	})
	if err != nil {
		return nil, 0, err
	}
	return etcdwire.KeyValues(resp.Kvs), resp.Header.Revision, nil
}

// Txn implements port.Store.
func (l *Local) Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	return callLocal(ctx, l, localTxnCall, func() (port.TxnResult, error) {
		resp, err := l.s.state.txn(etcdwire.TxnRequest(conditions, changes))
		if err != nil {
			return port.TxnResult{}, err
		}
		return port.TxnResult{Succeeded: resp.Succeeded, Revision: resp.Header.Revision}, nil
	})
}

// GrantLease implements port.Store.
func (l *Local) GrantLease(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	return callLocal(ctx, l, localGrantCall, func() (port.LeaseID, error) {
		resp := l.s.state.grant(&etcdv3.LeaseGrantRequest{TTL: etcdwire.TTLSeconds(ttl)})
		return port.LeaseID(resp.ID), nil
	})
}

// KeepAlive implements port.Store.
func (l *Local) KeepAlive(ctx context.Context, id port.LeaseID) (time.Duration, error) {
	return callLocal(ctx, l, localRenewCall, func() (time.Duration, error) {
		resp := l.s.state.renew(int64(id))
		if resp.TTL == 0 {
			return 0, errLeaseNotFound
		}
		return time.Duration(resp.TTL) * time.Second, nil
	})
}

// RevokeLease implements port.Store.
func (l *Local) RevokeLease(ctx context.Context, id port.LeaseID) error {
	_, err := callLocal(ctx, l, localEndCall, func() (*etcdv3.LeaseRevokeResponse, error) {
		return l.s.state.revoke(int64(id))
	})
	return err
}
