package grpcrelay

import (
	"context"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	relayv1 "github.com/guavarill/guavarill/api/relay/v1"
	"github.com/guavarill/guavarill/jobservice"
	"github.com/guavarill/guavarill/port"
)

// RecordsServer gives other daemons access to the store through this daemon.
type RecordsServer struct {
	relayv1.UnimplementedRecordsServer
	store jobservice.RecordStore
	// available reports whether this daemon has direct access to the store.
	available func() bool
}

// NewRecordsServer returns a RecordsServer that uses store while available returns
// true, and registers it with s.
func NewRecordsServer(s *grpc.Server, store jobservice.RecordStore, available func() bool) *RecordsServer {
	r := &RecordsServer{store: store, available: available}
	relayv1.RegisterRecordsServer(s, r)
	return r
}

// Get implements relayv1.RecordsServer. It reads one record.
func (r *RecordsServer) Get(ctx context.Context, req *relayv1.GetRequest) (*relayv1.GetResponse, error) {
	if !r.available() {
		return nil, status.Error(codes.FailedPrecondition, "no access to the store")
	}
	kv, err := r.store.Get(ctx, req.Key)
	if err != nil {
		return nil, encodeError(err)
	}
	return &relayv1.GetResponse{Value: kv.Value, Revision: kv.ModRevision}, nil
}

// Txn implements relayv1.RecordsServer. All conditions compare modification revisions.
func (r *RecordsServer) Txn(ctx context.Context, req *relayv1.TxnRequest) (*relayv1.TxnResponse, error) {
	if !r.available() {
		return nil, status.Error(codes.FailedPrecondition, "no access to the store")
	}
	conditions := make([]port.Condition, len(req.Conditions))
	for i, c := range req.Conditions {
		conditions[i] = port.Condition{Key: c.Key, Kind: port.CompareModRevision, Revision: c.Revision}
	}
	changes := make([]port.Op, 0, len(req.Puts)+len(req.RemovedKeys))
	for _, p := range req.Puts {
		changes = append(changes, port.Op{Key: p.Key, Value: p.Value})
	}
	for _, key := range req.RemovedKeys {
		changes = append(changes, port.Op{Key: key, Delete: true})
	}
	result, err := r.store.Txn(ctx, conditions, changes)
	if err != nil {
		return nil, encodeError(err)
	}
	return &relayv1.TxnResponse{Succeeded: result.Succeeded, Revision: result.Revision}, nil
}

// encodeError converts an error of the store into a gRPC status: FailedPrecondition
// if no change was made, and Unknown if a change may have been made.
func encodeError(err error) error {
	if jobservice.IsNotDone(err) {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Unknown, err.Error())
}

// RecordsClient accesses the store through other daemons. It is a
// jobservice.PeerStores.
type RecordsClient struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

var _ jobservice.PeerStores = (*RecordsClient)(nil)

// NewRecordsClient returns a RecordsClient without connections.
func NewRecordsClient() *RecordsClient {
	return &RecordsClient{conns: make(map[string]*grpc.ClientConn)}
}

// At returns the access to the store through the daemon at the address.
func (c *RecordsClient) At(address string) jobservice.RecordStore {
	return &peerRecords{client: c, address: address}
}

// conn returns the connection to a daemon and creates it at the first call.
func (c *RecordsClient) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err == nil {
		c.conns[address] = conn
	}
	return conn, err
}

// peerRecords is the access to the store through one daemon.
type peerRecords struct {
	client  *RecordsClient
	address string
}

// Get implements jobservice.RecordStore.
func (p *peerRecords) Get(ctx context.Context, key string) (port.KeyValue, error) {
	conn, err := p.client.conn(p.address)
	if err != nil {
		return port.KeyValue{}, decodeError("Get", err)
	}
	resp, err := relayv1.NewRecordsClient(conn).Get(ctx, &relayv1.GetRequest{Key: key})
	if err != nil {
		return port.KeyValue{}, decodeError("Get", err)
	}
	return port.KeyValue{Key: key, Value: resp.Value, ModRevision: resp.Revision}, nil
}

// Txn implements jobservice.RecordStore.
func (p *peerRecords) Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	conn, err := p.client.conn(p.address)
	if err != nil {
		return port.TxnResult{}, decodeError("Txn", err)
	}
	req := &relayv1.TxnRequest{}
	for _, c := range conditions {
		req.Conditions = append(req.Conditions, &relayv1.Condition{Key: c.Key, Revision: c.Revision})
	}
	for _, op := range changes {
		if op.Delete {
			req.RemovedKeys = append(req.RemovedKeys, op.Key)
			continue
		}
		req.Puts = append(req.Puts, &relayv1.Put{Key: op.Key, Value: op.Value})
	}
	resp, err := relayv1.NewRecordsClient(conn).Txn(ctx, req)
	if err != nil {
		return port.TxnResult{}, decodeError("Txn", err)
	}
	return port.TxnResult{Succeeded: resp.Succeeded, Revision: resp.Revision}, nil
}

// decodeError converts the error of a call into a *port.StoreError. The outcome is
// OutcomeNotDone only if the peer reported that no change was made. The status
// Unavailable, which grpc-go itself returns, does not prove that: it also follows a
// connection that breaks during the call.
func decodeError(call string, err error) error {
	failure := &port.StoreError{Call: call, Kind: port.StoreUnavailable, Outcome: port.OutcomeUnknown, Cause: err}
	if status.Code(err) == codes.FailedPrecondition {
		failure.Outcome = port.OutcomeNotDone
	}
	return failure
}
