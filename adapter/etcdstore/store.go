package etcdstore

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
	"github.com/guavarill/guavarill/port"
)

// Store is a client of the platform's store that uses the etcd v3 gRPC API. It
// is safe for concurrent use.
type Store struct {
	timeout         time.Duration
	maxRequestBytes int
	clock           port.Clock
	conns           *connections
	gate            *gate
	metrics         *metrics
}

var _ port.Store = (*Store)(nil)

// New returns a Store, which opens no connection before the first call. Any
// error is an *OptionError.
func New(o Options) (*Store, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	m := newMetrics()
	if err := m.register(o.Registerer); err != nil {
		return nil, err
	}
	return &Store{
		timeout:         o.CallTimeout,
		maxRequestBytes: o.MaxRequestBytes,
		clock:           o.Clock,
		conns:           newConnections(&o, m),
		gate:            newGate(o.Budget, o.Clock),
		metrics:         m,
	}, nil
}

// Close closes all connections, which ends all watches and fails the calls in
// flight. Later calls fail with ClosedError as the cause.
func (s *Store) Close() { s.conns.close() }

// Reconnect makes the next call open a new connection. Calls and watches on the
// old connection continue.
func (s *Store) Reconnect() { s.conns.reconnect() }

// SetDaemons sets the number of daemons that share the store, which the budget
// depends on.
func (s *Store) SetDaemons(daemons int) { s.gate.setDaemons(daemons) }

// Get implements port.Store.
func (s *Store) Get(ctx context.Context, key string) (port.KeyValue, error) {
	resp := new(etcdv3.RangeResponse)
	if err := s.invoke(ctx, callGet, etcdwire.GetRequest(key), resp); err != nil {
		return port.KeyValue{}, err
	}
	if len(resp.GetKvs()) == 0 {
		return port.KeyValue{Key: key}, nil
	}
	return etcdwire.KeyValue(resp.GetKvs()[0]), nil
}

// List implements port.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]port.KeyValue, int64, error) {
	resp := new(etcdv3.RangeResponse)
	if err := s.invoke(ctx, callList, etcdwire.ListRequest(prefix), resp); err != nil {
		return nil, 0, err
	}
	revision := resp.GetHeader().GetRevision()
	if revision <= 0 {
		return nil, 0, malformedResponse(callList, missingRevision)
	}
	return etcdwire.KeyValues(resp.GetKvs()), revision, nil
}

// Txn implements port.Store.
func (s *Store) Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	req := etcdwire.TxnRequest(conditions, changes)
	if s.tooLarge(req, changes) {
		err := &port.StoreError{Call: callTxn.name, Kind: port.StoreTooLarge, Outcome: port.OutcomeNotDone}
		s.metrics.count(callTxn.name, err)
		return port.TxnResult{}, err
	}
	resp := new(etcdv3.TxnResponse)
	if err := s.invoke(ctx, callTxn, req, resp); err != nil {
		return port.TxnResult{}, err
	}
	revision := resp.GetHeader().GetRevision()
	if revision <= 0 {
		return port.TxnResult{}, malformedResponse(callTxn, missingRevision)
	}
	return port.TxnResult{Succeeded: resp.GetSucceeded(), Revision: revision}, nil
}

// missingRevision is the reason for rejecting a response without the store's
// revision. Accepting it would restart epochs and watches from revision 0.
const missingRevision = "the answer has no revision"

// tooLarge reports whether a transaction exceeds the size limits. It is checked
// before sending, because a server may reject an oversized request with a status
// that does not prove that nothing was done.
func (s *Store) tooLarge(req *etcdv3.TxnRequest, changes []port.Op) bool {
	if etcdwire.LargestValue(changes) > port.MaxValueBytes {
		return true
	}
	return proto.Size(req) > s.maxRequestBytes
}

// GrantLease implements port.Store. It rounds ttl up to whole seconds, the
// protocol's unit.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	req := &etcdv3.LeaseGrantRequest{TTL: etcdwire.TTLSeconds(ttl)}
	resp := new(etcdv3.LeaseGrantResponse)
	if err := s.invoke(ctx, callGrantLease, req, resp); err != nil {
		return 0, err
	}
	if resp.GetID() == 0 || resp.GetTTL() < req.GetTTL() {
		return 0, malformedResponse(callGrantLease, "the lease granted is shorter than asked for")
	}
	return port.LeaseID(resp.GetID()), nil
}

// KeepAlive implements port.Store.
func (s *Store) KeepAlive(ctx context.Context, id port.LeaseID) (time.Duration, error) {
	resp := new(etcdv3.LeaseKeepAliveResponse)
	if err := s.invoke(ctx, callKeepAlive, &etcdv3.LeaseKeepAliveRequest{ID: int64(id)}, resp); err != nil {
		return 0, err
	}
	if resp.GetID() != int64(id) {
		return 0, malformedResponse(callKeepAlive, "the answer is about another lease")
	}
	if resp.GetTTL() <= 0 {
		return 0, &port.StoreError{Call: callKeepAlive.name, Kind: port.StoreLeaseNotFound, Outcome: port.OutcomeNotDone}
	}
	return time.Duration(resp.GetTTL()) * time.Second, nil
}

// RevokeLease implements port.Store.
func (s *Store) RevokeLease(ctx context.Context, id port.LeaseID) error {
	return s.invoke(ctx, callRevokeLease, &etcdv3.LeaseRevokeRequest{ID: int64(id)}, new(etcdv3.LeaseRevokeResponse))
}

// invoke makes one call if the budget admits it, and counts it in the metrics
// and the budget.
func (s *Store) invoke(ctx context.Context, c *call, req, resp proto.Message) error {
	if err := s.gate.admit(ctx, c); err != nil {
		s.metrics.count(c.name, err)
		return err
	}
	err := s.exchange(ctx, c, req, resp)
	s.gate.observe(ctx, c, err)
	s.metrics.count(c.name, err)
	return err
}

// exchange sends a request and waits for its response until the call timeout.
func (s *Store) exchange(ctx context.Context, c *call, req, resp proto.Message) error {
	conn, err := s.conns.acquire(wantsFreshConnection(ctx))
	if err != nil {
		return classify(ctx, c, err, false)
	}
	defer s.conns.release(conn)
	callCtx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	record := new(sendRecord)
	started := s.clock.Now()
	err = conn.cc.Invoke(withSendRecord(callCtx, record), c.method, req, resp, grpc.StaticMethod())
	if err == nil || isStoreResponse(err) {
		s.conns.recordResponse(conn)
	} else if ctx.Err() == nil && callCtx.Err() != nil {
		s.conns.recordTimeout(conn, started)
	}
	if err == nil {
		return nil
	}
	return classify(ctx, c, err, record.sent.Load())
}
