package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/adapter/callerapi"
	"github.com/guavarill/guavarill/adapter/etcdstore"
	"github.com/guavarill/guavarill/adapter/grpcpeer"
	"github.com/guavarill/guavarill/adapter/grpcworker"
	"github.com/guavarill/guavarill/adapter/httptarget"
	"github.com/guavarill/guavarill/adapter/tlsfiles"
	"github.com/guavarill/guavarill/daemon"
	"github.com/guavarill/guavarill/settings"
	"github.com/guavarill/guavarill/traffic"
)

// Server is one guavarill process: the daemon with its listeners and clients.
type Server struct {
	settings settings.Daemon
	log      *logrus.Logger
	daemon   *daemon.Daemon
	callers  *callerapi.Server
	admin    *adminapi.Server
	peers    *grpcpeer.Server

	store      *etcdstore.Store
	workers    *grpcworker.Client
	peerClient *grpcpeer.Client
	target     *httptarget.Target
	tls        *tlsfiles.Source

	listeners     listeners
	stopping      atomic.Bool
	drainRequests chan struct{}
	killed        chan struct{}
	killOnce      sync.Once
}

type listeners struct{ callers, admin, peers net.Listener }

// New validates the settings, opens the listeners and creates the clients, but does
// not serve yet; Run does. The error is a *settings.InvalidError or a *StartError,
// and nothing is left open in that case.
func New(s settings.Daemon, log *logrus.Logger) (*Server, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	srv := &Server{settings: s, log: log, drainRequests: make(chan struct{}, 1), killed: make(chan struct{})}
	if err := srv.build(); err != nil {
		srv.closeAll()
		return nil, err
	}
	return srv, nil
}

// ready returns an error that gives the reason if the process accepts no requests.
// It fails from the beginning of a planned stop, like the readiness check on the
// callers' port. Otherwise a load balancer that probes the operators' port would
// send requests until the process has exited.
func (s *Server) ready() error {
	if s.stopping.Load() {
		return &traffic.NotServingError{Reason: traffic.Stopping}
	}
	return s.daemon.Engine().Serving()
}

// requestDrain makes Run begin a planned stop. It does not block; further requests have
// no effect.
func (s *Server) requestDrain() {
	select {
	case s.drainRequests <- struct{}{}:
	default:
	}
}

// CallersAddress returns the host:port of the callers' listener.
func (s *Server) CallersAddress() string { return s.listeners.callers.Addr().String() }

// AdminAddress returns the host:port of the operators' listener.
func (s *Server) AdminAddress() string { return s.listeners.admin.Addr().String() }

// PeersAddress returns the host:port of the listener for other daemons. It is not
// necessarily the address that is advertised to them.
func (s *Server) PeersAddress() string { return s.listeners.peers.Addr().String() }

// Daemon returns the daemon that the process runs.
func (s *Server) Daemon() *daemon.Daemon { return s.daemon }

// Run serves until ctx is cancelled, an operator requests a drain or a listener
// fails. It then performs a planned stop: readiness fails, shards are handed over,
// and requests in flight complete. After Kill it returns without a planned stop. The
// error is a *StopError or the failure of a listener.
func (s *Server) Run(ctx context.Context) error {
	group, inner := errgroup.WithContext(context.Background())
	group.Go(func() error { s.daemon.Run(); return nil })
	group.Go(func() error { return s.callers.Serve(s.listeners.callers) })
	group.Go(func() error { return s.admin.Serve(s.listeners.admin) })
	group.Go(func() error { return s.peers.Serve(s.listeners.peers) })
	s.log.WithFields(logrus.Fields{
		"callers": s.CallersAddress(), "admin": s.AdminAddress(), "peers": s.PeersAddress(),
	}).Info("serving")
	select {
	case <-ctx.Done():
	case <-s.drainRequests:
	case <-inner.Done():
	case <-s.killed:
		return group.Wait()
	}
	stopErr := s.stop()
	if err := group.Wait(); err != nil {
		return err
	}
	return stopErr
}
