package etcdstore

import (
	"context"

	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/port"
)

// call describes a method of port.Store: its name in errors and metrics, its
// gRPC method, whether it can change the store, and its default budget class.
type call struct {
	name    string
	method  string
	mutates bool
	class   storebudget.Class
}

// The calls of port.Store. A lease renewal is sent as a unary call although the
// gRPC method is a stream: on the wire, a unary call is a stream of one request
// and one response.
var (
	callGet         = &call{name: "Get", method: etcdv3.KV_Range_FullMethodName, class: storebudget.ClassRead}
	callList        = &call{name: "List", method: etcdv3.KV_Range_FullMethodName, class: storebudget.ClassRead}
	callTxn         = &call{name: "Txn", method: etcdv3.KV_Txn_FullMethodName, mutates: true, class: storebudget.ClassCommit}
	callGrantLease  = &call{name: "GrantLease", method: etcdv3.Lease_LeaseGrant_FullMethodName, mutates: true, class: storebudget.ClassLease}
	callKeepAlive   = &call{name: "KeepAlive", method: etcdv3.Lease_LeaseKeepAlive_FullMethodName, mutates: true, class: storebudget.ClassLease}
	callRevokeLease = &call{name: "RevokeLease", method: etcdv3.Lease_LeaseRevoke_FullMethodName, mutates: true, class: storebudget.ClassLease}
	callWatch       = &call{name: "Watch", method: etcdv3.Watch_Watch_FullMethodName, class: storebudget.ClassWatch}
)

// outcomeWithoutResponse returns the outcome of a call that was sent but whose
// response was lost: unknown for a mutating call, not done for a read.
func (c *call) outcomeWithoutResponse() port.Outcome {
	if c.mutates {
		return port.OutcomeUnknown
	}
	return port.OutcomeNotDone
}

type classKey struct{}

// WithClass returns a context whose calls use the given budget class instead of
// their default one, for example storebudget.ClassPoll for a read that can wait.
func WithClass(ctx context.Context, class storebudget.Class) context.Context {
	return context.WithValue(ctx, classKey{}, class)
}

func classOf(ctx context.Context, c *call) storebudget.Class {
	if class, ok := ctx.Value(classKey{}).(storebudget.Class); ok {
		return class
	}
	return c.class
}

type freshKey struct{}

// WithFreshConnection returns a context whose calls each open a new connection,
// which later calls then use. A poll with such a context finds the changes that
// a watch on a silent connection missed.
func WithFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshKey{}, true)
}

func wantsFreshConnection(ctx context.Context) bool {
	fresh, _ := ctx.Value(freshKey{}).(bool)
	return fresh
}
