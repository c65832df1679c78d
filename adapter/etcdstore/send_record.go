package etcdstore

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// sendRecord records whether a call's message was passed to a connection.
type sendRecord struct {
	sent atomic.Bool
}

type sendRecordKey struct{}

func withSendRecord(ctx context.Context, r *sendRecord) context.Context {
	return context.WithValue(ctx, sendRecordKey{}, r)
}

// sendStatsHandler is a gRPC stats handler that sets a call's sendRecord when its
// message is passed to a connection.
//
// The status of a failed call does not show whether the call was sent: refused
// connections and broken ones both result in Unavailable. Reporting every such
// status as unknown would make a ledger read its state back after each refused
// connection; reporting it as not done would repeat changes that were made. The
// gRPC library reports a message here after queueing it and before the call
// returns, so a call without a report never reached the store.
type sendStatsHandler struct{}

// TagRPC implements stats.Handler.
func (sendStatsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sendStatsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutPayload); !ok {
		return
	}
	if r, ok := ctx.Value(sendRecordKey{}).(*sendRecord); ok {
		r.sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sendStatsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (sendStatsHandler) HandleConn(context.Context, stats.ConnStats) {}
