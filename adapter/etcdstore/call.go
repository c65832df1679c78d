package etcdstore

import (
	"context"

	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/port"
)

// call is what the adapter knows of one of its methods.
type call struct {
	name    string
	method  string
	mutates bool
	class   storebudget.Class
}

// The calls. A lease's renewal is sent as a plain call although the method is
// a stream: on the wire that is a stream of one request and one answer.
var (
	callGet   = &call{name: "Get", method: etcdv3.KV_Range_FullMethodName, class: storebudget.ClassRead}
	callList  = &call{name: "List", method: etcdv3.KV_Range_FullMethodName, class: storebudget.ClassRead}
	callTxn   = &call{name: "Txn", method: etcdv3.KV_Txn_FullMethodName, mutates: true, class: storebudget.ClassCommit}
	callGrant = &call{name: "GrantLease", method: etcdv3.Lease_LeaseGrant_FullMethodName, mutates: true, class: storebudget.ClassLease}
	callRenew = &call{name: "KeepAlive", method: etcdv3.Lease_LeaseKeepAlive_FullMethodName, mutates: true, class: storebudget.ClassLease}
	callEnd   = &call{name: "RevokeLease", method: etcdv3.Lease_LeaseRevoke_FullMethodName, mutates: true, class: storebudget.ClassLease}
	callWatch = &call{name: "Watch", method: etcdv3.Watch_Watch_FullMethodName, class: storebudget.ClassWatch}
)

// lostOutcome is what is known of the call when its answer was lost.
func (c *call) lostOutcome() port.Outcome {
	if c.mutates {
		return port.OutcomeUnknown
	}
	return port.OutcomeNotDone
}

type classKey struct{}

// WithClass sets the budget's class of the calls made with the context, for
// example storebudget.ClassPoll for a read that can wait.
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

// WithFreshConnection makes a call open a new connection, which later calls
// then use. A poll made so finds what a watch on a silent connection missed.
func WithFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshKey{}, true)
}

func wantsFresh(ctx context.Context) bool {
	fresh, _ := ctx.Value(freshKey{}).(bool)
	return fresh
}
