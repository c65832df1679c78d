package etcdstore_test

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/guavarill/guavarill/adapter/etcdstore"
	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
	"github.com/guavarill/guavarill/port"
)

// emptyKV answers with empty messages and knows no leases.
type emptyKV struct {
	etcdv3.UnimplementedKVServer
}

func (emptyKV) Range(context.Context, *etcdv3.RangeRequest) (*etcdv3.RangeResponse, error) {
	return &etcdv3.RangeResponse{}, nil
}

func (emptyKV) Txn(context.Context, *etcdv3.TxnRequest) (*etcdv3.TxnResponse, error) {
	return &etcdv3.TxnResponse{Succeeded: true}, nil
}

// Symptom: after an answer from something that is not the store, a daemon
// believes that its commit was made at revision 0.
// Sequence: a proxy or another service answers a transaction with an empty
// message.
// Cause: a call without a status of failure was taken for done.
func TestAnswersThatMakeNoSense(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	etcdv3.RegisterKVServer(server, emptyKV{})
	go func() { _ = server.Serve(inner) }()
	t.Cleanup(server.Stop)
	s := newStore(t, etcdstore.Options{Endpoint: inner.Addr().String(), CallTimeout: patience})
	ctx := context.Background()
	_, err = s.Txn(ctx, nil, put("k", "v"))
	wantFailure(t, err, port.StoreMalformedResponse, port.OutcomeUnknown)
	_, _, err = s.List(ctx, "k")
	wantFailure(t, err, port.StoreMalformedResponse, port.OutcomeNotDone)
	_, err = s.GrantLease(ctx, time.Second)
	wantFailure(t, err, etcdwire.KindRefused, port.OutcomeNotDone)
}
