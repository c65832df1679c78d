package grpcpeer

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/port"
)

// Handler handles the requests of other daemons. It is called from many goroutines
// at once. Its errors should be *port.PeerError: their kind determines the kind
// that the caller receives, and any other error is received as port.PeerRefused.
type Handler interface {
	Exchange(ctx context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
	Claim(ctx context.Context, req *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
}

// ServerOptions configures a Server. Zero fields take their defaults.
type ServerOptions struct {
	// Cluster is the only cluster whose calls are accepted.
	Cluster string
	// Credentials secure the connections, see package tlsfiles; nil means plain text.
	Credentials     credentials.TransportCredentials
	MaxMessageBytes int
	// KeepaliveTime and KeepaliveTimeout are as in ClientOptions.
	KeepaliveTime    time.Duration
	KeepaliveTimeout time.Duration
	// MaxStreams bounds the calls in flight on one connection. The default is 256.
	MaxStreams uint32
}

func (o ServerOptions) withDefaults() ServerOptions {
	if o.Credentials == nil {
		o.Credentials = insecure.NewCredentials()
	}
	o.MaxMessageBytes = cmp.Or(o.MaxMessageBytes, DefaultMaxMessageBytes)
	o.KeepaliveTime = cmp.Or(o.KeepaliveTime, DefaultKeepaliveTime)
	o.KeepaliveTimeout = cmp.Or(o.KeepaliveTimeout, DefaultKeepaliveTimeout)
	o.MaxStreams = cmp.Or(o.MaxStreams, 256)
	return o
}

// Server serves the protocol between daemons.
type Server struct {
	peerv1.UnimplementedPeerServer
	o       ServerOptions
	handler Handler
	grpc    *grpc.Server

	calls         atomic.Uint64
	otherCluster  atomic.Uint64
	otherProtocol atomic.Uint64
	handlerErrors atomic.Uint64
}

// ServerStats holds the counters of a Server: calls received, calls refused because
// of another cluster or a newer protocol, and errors returned by the Handler.
type ServerStats struct {
	Calls         uint64
	OtherCluster  uint64
	OtherProtocol uint64
	HandlerErrors uint64
}

// NewServer returns a Server that does not listen yet.
func NewServer(o ServerOptions, h Handler) *Server {
	s := &Server{o: o.withDefaults(), handler: h}
	s.grpc = grpc.NewServer(s.serverOptions()...)
	peerv1.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve accepts connections from l until Stop or GracefulStop is called.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// GracefulStop accepts no more calls and waits for those in flight.
func (s *Server) GracefulStop() { s.grpc.GracefulStop() }

// Stop closes all connections immediately.
func (s *Server) Stop() { s.grpc.Stop() }

// Stats returns the counters.
func (s *Server) Stats() ServerStats {
	return ServerStats{
		Calls:         s.calls.Load(),
		OtherCluster:  s.otherCluster.Load(),
		OtherProtocol: s.otherProtocol.Load(),
		HandlerErrors: s.handlerErrors.Load(),
	}
}

// Exchange implements peerv1.PeerServer.
func (s *Server) Exchange(ctx context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	if err := s.admit(req.GetCluster(), req.GetProtocol()); err != nil {
		return nil, err
	}
	resp, err := s.handler.Exchange(ctx, req)
	return resp, s.statusOf(err)
}

// Claim implements peerv1.PeerServer.
func (s *Server) Claim(ctx context.Context, req *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	resp, err := s.handler.Claim(ctx, req)
	return resp, s.statusOf(err)
}

// check is the interceptor that admits or refuses a call by the identity in its
// metadata.
func (s *Server) check(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	s.calls.Add(1)
	id := incomingIdentity(ctx)
	if err := s.admit(id.cluster, id.protocol); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

// admit refuses other clusters and newer protocols. Otherwise a daemon with a wrong
// cluster setting would mix the members of two clusters and apply the configuration
// of one cluster to the other.
func (s *Server) admit(cluster string, protocol uint32) error {
	if cluster != s.o.Cluster {
		return s.refuseCluster()
	}
	if protocol > Protocol {
		return s.refuseProtocol()
	}
	return nil
}

func (s *Server) refuseCluster() error {
	s.otherCluster.Add(1)
	return status.Error(codeOtherCluster, string(port.PeerOtherCluster))
}

func (s *Server) refuseProtocol() error {
	s.otherProtocol.Add(1)
	return status.Error(codeOtherProtocol, string(port.PeerOtherProtocol))
}

// statusOf converts an error of the Handler into a gRPC status.
func (s *Server) statusOf(err error) error {
	if err == nil {
		return nil
	}
	s.handlerErrors.Add(1)
	var pe *port.PeerError
	if !errors.As(err, &pe) {
		return status.Error(codes.Internal, err.Error())
	}
	switch pe.Kind {
	case port.PeerUnreachable:
		return status.Error(codes.Unavailable, err.Error())
	case port.PeerOtherCluster:
		return status.Error(codeOtherCluster, err.Error())
	case port.PeerOtherProtocol:
		return status.Error(codeOtherProtocol, err.Error())
	}
	return status.Error(codes.ResourceExhausted, err.Error())
}

func (s *Server) serverOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.Creds(s.o.Credentials),
		grpc.MaxRecvMsgSize(s.o.MaxMessageBytes),
		grpc.MaxSendMsgSize(s.o.MaxMessageBytes),
		grpc.MaxConcurrentStreams(s.o.MaxStreams),
		grpc.UnaryInterceptor(s.check),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    s.o.KeepaliveTime,
			Timeout: s.o.KeepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             s.o.KeepaliveTime / 2,
			PermitWithoutStream: true,
		}),
	}
}
