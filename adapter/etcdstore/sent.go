package etcdstore

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// sendRecord tells whether a call's message was handed to a connection.
type sendRecord struct {
	sent atomic.Bool
}

type sendRecordKey struct{}

func withSendRecord(ctx context.Context, r *sendRecord) context.Context {
	return context.WithValue(ctx, sendRecordKey{}, r)
}

// sendObserver marks a call's record when its message is handed to a
// connection.
//
// The status of a failed call does not say whether the call went out: refused
// connections and broken ones both give Unavailable. To take every such status
// for unknown would make a ledger read back after each refused connection; to
// take it for not done would repeat changes that were made. The library
// reports a message here after queueing it and before the call returns, so a
// call without a report never reached the store.
type sendObserver struct{}

// TagRPC implements stats.Handler.
func (sendObserver) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sendObserver) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutPayload); !ok {
		return
	}
	if r, ok := ctx.Value(sendRecordKey{}).(*sendRecord); ok {
		r.sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sendObserver) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sendObserver) HandleConn(context.Context, stats.ConnStats) {}
