package store

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc"

	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
)

type kvService struct {
	etcdv3.UnimplementedKVServer
	state *state
}

func (k *kvService) Range(_ context.Context, req *etcdv3.RangeRequest) (*etcdv3.RangeResponse, error) {
	return k.state.rangeKeys(req)
}

func (k *kvService) Put(_ context.Context, req *etcdv3.PutRequest) (*etcdv3.PutResponse, error) {
	return k.state.put(req)
}

func (k *kvService) DeleteRange(_ context.Context, req *etcdv3.DeleteRangeRequest) (*etcdv3.DeleteRangeResponse, error) {
	return k.state.deleteRange(req)
}

func (k *kvService) Txn(_ context.Context, req *etcdv3.TxnRequest) (*etcdv3.TxnResponse, error) {
	return k.state.txn(req)
}

type leaseService struct {
	etcdv3.UnimplementedLeaseServer
	server *Server
}

func (l *leaseService) LeaseGrant(_ context.Context, req *etcdv3.LeaseGrantRequest) (*etcdv3.LeaseGrantResponse, error) {
	return l.server.state.grant(req), nil
}

func (l *leaseService) LeaseRevoke(_ context.Context, req *etcdv3.LeaseRevokeRequest) (*etcdv3.LeaseRevokeResponse, error) {
	return l.server.state.revoke(req.ID)
}

func (l *leaseService) LeaseTimeToLive(_ context.Context, req *etcdv3.LeaseTimeToLiveRequest) (*etcdv3.LeaseTimeToLiveResponse, error) {
	return l.server.state.timeToLive(req), nil
}

// LeaseKeepAlive counts each renewal as a call.
func (l *leaseService) LeaseKeepAlive(stream grpc.BidiStreamingServer[etcdv3.LeaseKeepAliveRequest, etcdv3.LeaseKeepAliveResponse]) error {
	for {
		req, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		renew := func() (any, error) { return l.server.state.renew(req.ID), nil }
		resp, err := l.server.call(stream.Context(), MethodLeaseKeepAlive, renew)
		if err != nil {
			return err
		}
		if err := stream.Send(resp.(*etcdv3.LeaseKeepAliveResponse)); err != nil {
			return err
		}
	}
}
