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

// Server is one guavarill process.
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

	listeners listeners
	stopping  atomic.Bool
	drainAsk  chan struct{}
	killed    chan struct{}
	killOnce  sync.Once
}

type listeners struct{ callers, admin, peers net.Listener }

// New listens and connects but does not serve yet. An error is a
// *settings.InvalidError or a *StartError; nothing is left open then.
func New(s settings.Daemon, log *logrus.Logger) (*Server, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	srv := &Server{settings: s, log: log, drainAsk: make(chan struct{}, 1), killed: make(chan struct{})}
	if err := srv.build(); err != nil {
		srv.closeAll()
		return nil, err
	}
	return srv, nil
}

// ready returns why the process takes no requests. From the beginning of a
// planned stop it fails, as it does on the callers' side: a balancer that probes
// the operators' port would otherwise send requests until the process is gone.
func (s *Server) ready() error {
	if s.stopping.Load() {
		return &traffic.NotServingError{Reason: traffic.Stopping}
	}
	return s.daemon.Engine().Serving()
}

func (s *Server) askDrain() {
	select {
	case s.drainAsk <- struct{}{}:
	default:
	}
}

// CallersAddress returns where callers reach the process.
func (s *Server) CallersAddress() string { return s.listeners.callers.Addr().String() }

// AdminAddress returns where operators reach the process.
func (s *Server) AdminAddress() string { return s.listeners.admin.Addr().String() }

// PeersAddress returns where other daemons reach the process.
func (s *Server) PeersAddress() string { return s.listeners.peers.Addr().String() }

// Daemon returns the daemon within the process.
func (s *Server) Daemon() *daemon.Daemon { return s.daemon }

// Run serves until ctx ends or an operator asks for a drain, and then stops in
// the planned way: readiness is withdrawn, shards are handed over, requests in
// flight end. An error is a *StopError, or the failure of a listener.
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
	case <-s.drainAsk:
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
