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

// emptyKV is a server that returns empty messages and has no lease service.
type emptyKV struct {
	etcdv3.UnimplementedKVServer
}

func (emptyKV) Range(context.Context, *etcdv3.RangeRequest) (*etcdv3.RangeResponse, error) {
	return &etcdv3.RangeResponse{}, nil
}

func (emptyKV) Txn(context.Context, *etcdv3.TxnRequest) (*etcdv3.TxnResponse, error) {
	return &etcdv3.TxnResponse{Succeeded: true}, nil
}

// Guards against a commit reported as done at revision 0: a proxy or another
// service returned an empty message for a transaction, and the adapter took
// every call without an error status for done.
func TestMalformedResponses(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	etcdv3.RegisterKVServer(server, emptyKV{})
	go func() { _ = server.Serve(inner) }()
	t.Cleanup(server.Stop)
	s := newStore(t, etcdstore.Options{Endpoint: inner.Addr().String(), CallTimeout: waitTimeout})
	ctx := context.Background()
	_, err = s.Txn(ctx, nil, put("k", "v"))
	wantFailure(t, err, port.StoreMalformedResponse, port.OutcomeUnknown)
	_, _, err = s.List(ctx, "k")
	wantFailure(t, err, port.StoreMalformedResponse, port.OutcomeNotDone)
	_, err = s.GrantLease(ctx, time.Second)
	wantFailure(t, err, etcdwire.KindRefused, port.OutcomeNotDone)
}
