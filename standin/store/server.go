package store

import (
	"context"
	"errors"
	"path"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
)

const (
	// expiryPeriod is the interval at which a started server checks for expired
	// leases.
	expiryPeriod = 50 * time.Millisecond
	// recvOverhead is by how much a message may be larger than its request.
	recvOverhead = 512 << 10
	// minPingTime is the service's limit on clients' pings.
	minPingTime = 5 * time.Second
)

// Server is the stand-in.
type Server struct {
	o        Options
	state    *state
	faults   faults
	meter    *meter
	listener *listener
	grpc     *grpc.Server
	stop     chan struct{}
	stopOnce sync.Once
	withheld atomic.Int64
	running  sync.WaitGroup

	localsMu sync.Mutex
	locals   []*Local
}

// New returns a stand-in. It serves its socket only after Start.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		o:        o,
		state:    newState(o),
		meter:    newMeter(&o),
		listener: newListener(),
		stop:     make(chan struct{}),
	}
	s.state.observers = append(s.state.observers, s.deliverLocal)
	return s
}

// Start serves on a free port of the loopback address and returns host:port.
// An error is the operating system's. Start and Close are called once.
func (s *Server) Start() (string, error) {
	addr, err := s.listener.listen()
	if err != nil {
		return "", err
	}
	s.grpc = grpc.NewServer(
		grpc.UnaryInterceptor(s.intercept),
		grpc.MaxRecvMsgSize(s.o.MaxRequestBytes+recvOverhead),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingTime}),
	)
	etcdv3.RegisterKVServer(s.grpc, &kvService{state: s.state})
	etcdv3.RegisterLeaseServer(s.grpc, &leaseService{server: s})
	etcdv3.RegisterWatchServer(s.grpc, &watchService{server: s})
	s.running.Add(2)
	go s.serve()
	go s.expireLeases()
	return addr.String(), nil
}

// Close ends all connections and waits for the server's goroutines.
func (s *Server) Close() {
	s.stopOnce.Do(func() { close(s.stop) })
	if s.grpc == nil {
		return
	}
	s.listener.breakAll()
	s.grpc.Stop()
	s.running.Wait()
}

func (s *Server) serve() {
	defer s.running.Done()
	_ = s.grpc.Serve(s.listener)
}

func (s *Server) expireLeases() {
	defer s.running.Done()
	ticker := time.NewTicker(expiryPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.Tick()
		case <-s.stop:
			return
		}
	}
}

// Tick ends the expired leases.
func (s *Server) Tick() {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.expire()
}

// Revision returns the store's revision.
func (s *Server) Revision() int64 {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.revision
}

// Compact removes the changes up to and including a revision from the history, so
// that watches can no longer start there.
func (s *Server) Compact(revision int64) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.history.compact(revision)
}

// Calls returns the number of calls of a method that arrived.
func (s *Server) Calls(m Method) int { return s.meter.snapshot()[m] }

// Counts returns the number of calls of each method that arrived.
func (s *Server) Counts() map[Method]int { return s.meter.snapshot() }

// Withheld returns the number of calls over sockets whose response was withheld by
// a fault so far. The effect of such a call, if any, has taken place.
func (s *Server) Withheld() int { return int(s.withheld.Load()) }

// Swallowed returns the number of bytes that silenced connections have discarded.
func (s *Server) Swallowed() int { return int(s.listener.swallowed.Load()) }

// ResetCounts sets all counts to 0.
func (s *Server) ResetCounts() {
	s.meter.reset()
	s.withheld.Store(0)
	s.listener.swallowed.Store(0)
}

// intercept counts each unary call and applies the faults to it.
func (s *Server) intercept(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	method := Method(path.Base(info.FullMethod))
	return s.call(ctx, method, func() (any, error) { return handler(ctx, req) })
}

// call executes one call, unless a fault drops it. A fault may also drop the
// response.
func (s *Server) call(ctx context.Context, m Method, effect func() (any, error)) (any, error) {
	p := s.faults.plan(m)
	if err := s.meter.count(m); err != nil {
		return nil, statusOf(err)
	}
	s.pause(p.slow)
	if p.dropped || s.faults.isDown() {
		return nil, s.loseCall(ctx, p.how)
	}
	resp, err := effect()
	if p.lost {
		return nil, s.loseCall(ctx, p.how)
	}
	return resp, statusOf(err)
}

func (s *Server) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.stop:
	}
}

// loseCall ends a call without a response to the caller.
func (s *Server) loseCall(ctx context.Context, how Loss) error {
	s.withheld.Add(1)
	if how == LossBreak {
		if p, ok := peer.FromContext(ctx); ok {
			s.listener.breakOne(p.Addr.String())
		}
	}
	select {
	case <-ctx.Done():
		// The deadline may end here a little before it ends at the caller, who
		// is to find the same.
		return status.FromContextError(ctx.Err()).Err()
	case <-s.stop:
		return status.Error(codes.Unavailable, "the store has ended")
	}
}

// statusOf converts a refusal into a gRPC status.
func statusOf(err error) error {
	var refusal *etcdwire.Refusal
	if errors.As(err, &refusal) {
		return status.Error(refusal.Code, refusal.Text)
	}
	return err
}
