package server

import (
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

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
)

// marginDivisor limits the safety margin at the end of the daemon's lease to a fifth
// of the lease's TTL. The lease is renewed after a third of its TTL, so with a
// margin of two thirds or more the daemon could not rely on a lease that it holds.
const marginDivisor = 5

// renewalsPerLease is the number of renewals of a task's lease within its duration.
const renewalsPerLease = 6

// build opens the listeners, creates the clients, and creates the daemon and its
// servers. On error, the caller closes whatever was opened.
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
	d, err := daemon.New(s.daemonOptions(registry))
	if err != nil {
		return &StartError{Part: PartDaemon, Cause: err}
	}
	s.daemon = d
	s.makeServers(registry)
	return nil
}

// daemonOptions returns the daemon's default options, overridden by the settings.
func (s *Server) daemonOptions(registry *prometheus.Registry) daemon.Options {
	options := daemon.DefaultOptions(s.identity(), s.ports())
	options.Logger = s.log
	options.Registerer = registry
	options.RacksShard = s.settings.RacksPerShard
	options.CommitsPerSecond = s.settings.StoreWrites / 2
	options.TimelineEvents = s.settings.TimelineEvents
	options.Timing.StoreCall = s.settings.StoreTimeout
	options.Ownership.LeaseTTL = s.settings.LeaseTTL
	options.Ownership.Margin = min(ownership.DefaultMargin, s.settings.LeaseTTL/marginDivisor)
	options.Ownership.OutageGrace = s.settings.OutageGrace
	options.Members.OutageGrace = s.settings.OutageGrace
	options.Session.Lease = s.settings.TaskLease
	options.Session.RenewEvery = s.settings.TaskLease / renewalsPerLease
	options.Session.OutageGrace = s.settings.OutageGrace
	if s.settings.Seed != 0 {
		options.Seed = s.settings.Seed
	}
	return options
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

// connect creates the clients for the store, workers, targets and other daemons.
func (s *Server) connect(registry *prometheus.Registry) error {
	if err := s.readTLS(); err != nil {
		return err
	}
	if err := s.connectStore(registry); err != nil {
		return err
	}
	s.workers = grpcworker.New(grpcworker.Options{})
	s.target = httptarget.New(httptarget.Options{Registerer: registry})
	client := grpcpeer.ClientOptions{Cluster: s.settings.Cluster}
	if s.tls != nil {
		client.Credentials = s.tls.GRPCClient()
	}
	s.peerClient = grpcpeer.NewClient(client)
	return nil
}

// readTLS loads the TLS files if they are set; Check has verified that either all
// three or none are.
func (s *Server) readTLS() error {
	if s.settings.TLSCert == "" {
		return nil
	}
	source, err := tlsfiles.New(tlsfiles.Options{
		CertFile: s.settings.TLSCert, KeyFile: s.settings.TLSKey, CAFile: s.settings.TLSCA,
	})
	if err != nil {
		return &StartError{Part: PartTLS, Cause: err}
	}
	s.tls = source
	return nil
}

func (s *Server) connectStore(registry *prometheus.Registry) error {
	budget := storebudget.New(time.Now(), storebudget.Options{
		StoreReads: s.settings.StoreReads, StoreWrites: s.settings.StoreWrites,
	})
	store, err := etcdstore.New(etcdstore.Options{
		Endpoint: s.settings.Store, CallTimeout: s.settings.StoreTimeout,
		Budget: budget, Registerer: registry,
	})
	if err != nil {
		return &StartError{Part: PartStore, Address: s.settings.Store, Cause: err}
	}
	s.store = store
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

// makeServers creates the servers for callers, operators and other daemons.
func (s *Server) makeServers(registry *prometheus.Registry) {
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
		Drain:    s.requestDrain,
	})
	options := grpcpeer.ServerOptions{Cluster: s.settings.Cluster}
	if s.tls != nil {
		options.Credentials = s.tls.GRPCServer()
	}
	s.peers = grpcpeer.NewServer(options, s.daemon)
}
