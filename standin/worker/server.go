package worker

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
)

// advanceEvery is the interval at which Server advances the agent. Leases end at
// most that much late.
const advanceEvery = 20 * time.Millisecond

// minKeepalive is the shortest interval at which clients may send keepalive pings.
const minKeepalive = time.Second

// Server serves an agent on a gRPC socket and lets its tasks advance.
type Server struct {
	workerv1.UnimplementedAgentServer
	agent   *Agent
	address string
	grpc    *grpc.Server
	stop    chan struct{}
	done    chan struct{}
}

// Serve starts to serve agent at address. Port 0 selects a free port.
func Serve(agent *Agent, address string) (*Server, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Server{
		agent:   agent,
		address: lis.Addr().String(),
		grpc: grpc.NewServer(grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: minKeepalive,
		})),
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	workerv1.RegisterAgentServer(s.grpc, s)
	go s.run(lis)
	return s, nil
}

// Address returns the host and port at which the agent is served.
func (s *Server) Address() string { return s.address }

// Agent returns the agent that is served.
func (s *Server) Agent() *Agent { return s.agent }

// Close closes the server and its connections. After that, nothing advances the
// agent but Apply and Advance.
func (s *Server) Close() {
	close(s.stop)
	s.grpc.Stop()
	<-s.done
}

// Apply implements the agent's service.
func (s *Server) Apply(ctx context.Context, req *workerv1.ApplyRequest) (*workerv1.ApplyResponse, error) {
	resp, err := s.agent.Exchange(ctx, req)
	if err != nil {
		return nil, status.Error(codes.Canceled, err.Error())
	}
	return resp, nil
}

// run serves until Close.
func (s *Server) run(lis net.Listener) {
	defer close(s.done)
	go func() { _ = s.grpc.Serve(lis) }() // ends with Close
	ticker := time.NewTicker(advanceEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.agent.Advance()
		}
	}
}
