package server

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

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
