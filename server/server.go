package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/adapter/callerapi"
	"github.com/guavarill/guavarill/adapter/etcdstore"
	"github.com/guavarill/guavarill/adapter/grpcpeer"
	"github.com/guavarill/guavarill/adapter/grpcworker"
	"github.com/guavarill/guavarill/adapter/httptarget"
	"github.com/guavarill/guavarill/adapter/httpvms"
	"github.com/guavarill/guavarill/adapter/tlsfiles"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ownership"
	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/daemon"
	"github.com/guavarill/guavarill/port"
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

// marginShare bounds the margin at the end of the daemon's lease to a part of
// the lease. The lease is renewed after a third of its time: a margin of two
// thirds or more would leave the daemon unsure of a lease that it holds.
const marginShare = 5

// renewsPerLease is how often a task's lease is renewed in its time.
const renewsPerLease = 6

func (s *Server) build() error {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	if err := s.listen(); err != nil {
		return err
	}
	if err := s.connect(registry); err != nil {
		return err
	}
	options := daemon.DefaultOptions(s.identity(), s.ports())
	options.Logger = s.log
	options.Registerer = registry
	options.RacksShard = s.settings.RacksPerShard
	options.CommitsPerSecond = s.settings.StoreWrites / 2
	options.TimelineEvents = s.settings.TimelineEvents
	options.Timing.StoreCall = s.settings.StoreCall
	options.Ownership.LeaseTTL = s.settings.LeaseTTL
	options.Ownership.Margin = min(ownership.DefaultMargin, s.settings.LeaseTTL/marginShare)
	options.Ownership.OutageGrace = s.settings.OutageGrace
	options.Members.OutageGrace = s.settings.OutageGrace
	options.Session.Lease = s.settings.TaskLease
	options.Session.RenewEvery = s.settings.TaskLease / renewsPerLease
	options.Session.OutageGrace = s.settings.OutageGrace
	if s.settings.Seed != 0 {
		options.Seed = s.settings.Seed
	}
	d, err := daemon.New(options)
	if err != nil {
		return &StartError{Part: PartDaemon, Cause: err}
	}
	s.daemon = d
	s.serveWith(registry)
	return nil
}

func (s *Server) listen() error {
	for _, l := range []struct {
		part    Part
		address string
		into    *net.Listener
	}{
		{PartCallers, s.settings.ListenCallers, &s.listeners.callers},
		{PartAdmin, s.settings.ListenAdmin, &s.listeners.admin},
		{PartPeers, s.settings.ListenPeers, &s.listeners.peers},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return &StartError{Part: l.part, Address: l.address, Cause: err}
		}
		*l.into = listener
	}
	return nil
}

func (s *Server) connect(registry *prometheus.Registry) error {
	if s.settings.TLSCert != "" {
		source, err := tlsfiles.New(tlsfiles.Options{
			CertFile: s.settings.TLSCert, KeyFile: s.settings.TLSKey, CAFile: s.settings.TLSCA,
		})
		if err != nil {
			return &StartError{Part: PartTLS, Cause: err}
		}
		s.tls = source
	}
	budget := storebudget.New(time.Now(), storebudget.Options{
		StoreReads: s.settings.StoreReads, StoreWrites: s.settings.StoreWrites,
	})
	store, err := etcdstore.New(etcdstore.Options{
		Endpoint: s.settings.Store, CallTimeout: s.settings.StoreCall,
		Budget: budget, Registerer: registry,
	})
	if err != nil {
		return &StartError{Part: PartStore, Address: s.settings.Store, Cause: err}
	}
	s.store = store
	s.workers = grpcworker.New(grpcworker.Options{})
	s.target = httptarget.New(httptarget.Options{Registerer: registry})
	client := grpcpeer.ClientOptions{Cluster: s.settings.Cluster}
	if s.tls != nil {
		client.Credentials = s.tls.GRPCClient()
	}
	s.peerClient = grpcpeer.NewClient(client)
	return nil
}

func (s *Server) ports() daemon.Ports {
	return daemon.Ports{
		Store:   s.store,
		Workers: s.workers,
		VMs:     httpvms.New(httpvms.Options{URL: s.settings.VMList}),
		Peers:   s.peerClient,
		Target:  s.target,
		Clock:   port.SystemClock{},
	}
}

func (s *Server) identity() daemon.Identity {
	address := s.settings.PeerAddress
	if address == "" {
		address = s.listeners.peers.Addr().String()
	}
	return daemon.Identity{
		Cluster:      s.settings.Cluster,
		ID:           model.DaemonID(s.settings.ID),
		Zone:         model.Zone(s.settings.Zone),
		PeerAddress:  address,
		AdminAddress: s.listeners.admin.Addr().String(),
		Started:      time.Now(),
	}
}

func (s *Server) serveWith(registry *prometheus.Registry) {
	s.callers = callerapi.New(callerapi.Options{
		Engine:         s.daemon.Engine(),
		MaxBodyBytes:   s.settings.MaxBodyBytes,
		BalancerNotice: s.settings.BalancerNotice,
		Log:            s.log,
	})
	s.admin = adminapi.New(adminapi.Options{
		Daemon:   s.daemon,
		Gatherer: registry,
		Ready:    s.ready,
		Drain:    s.askDrain,
	})
	options := grpcpeer.ServerOptions{Cluster: s.settings.Cluster}
	if s.tls != nil {
		options.Credentials = s.tls.GRPCServer()
	}
	s.peers = grpcpeer.NewServer(options, s.daemon)
}

// ready returns why the process takes no requests. From the begin of a planned
// stop it fails, as it does on the callers' side: a balancer that probes the
// operators' port would else send requests until the process is gone.
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

func stopped(part Part, err error) error {
	if err == nil {
		return nil
	}
	return &StopError{Part: part, Cause: err}
}

// stop is the planned stop. Requests in flight and the handover of shards end
// side by side; the peers' listener closes last, so that other daemons hear
// this one's farewell.
func (s *Server) stop() error {
	s.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.DrainTimeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return stopped(PartCallers, s.callers.Stop(ctx)) })
	group.Go(func() error { return stopped(PartDaemon, s.daemon.Drain(ctx)) })
	err := group.Wait()
	s.closeAll()
	return err
}

// Kill ends the process's work at once, as its VM's end would: nothing is
// handed over, nobody is told.
func (s *Server) Kill() {
	s.killOnce.Do(func() { close(s.killed) })
	s.closeAll()
}

func (s *Server) closeAll() {
	if s.callers != nil {
		_ = s.callers.Close()
	}
	if s.daemon != nil {
		s.daemon.Stop()
	}
	if s.admin != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.admin.Close(ctx)
	}
	if s.peers != nil {
		s.peers.Stop()
	}
	s.closeClients()
	for _, l := range []net.Listener{s.listeners.callers, s.listeners.admin, s.listeners.peers} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (s *Server) closeClients() {
	if s.peerClient != nil {
		_ = s.peerClient.Close()
	}
	if s.workers != nil {
		s.workers.Close()
	}
	if s.target != nil {
		s.target.Close()
	}
	if s.store != nil {
		s.store.Close()
	}
}
