package server

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

// stopError wraps err, if any, in a *StopError for part.
func stopError(part Part, err error) error {
	if err == nil {
		return nil
	}
	return &StopError{Part: part, Cause: err}
}

// stop performs the planned stop within DrainTimeout. Requests in flight complete
// while shards are handed over. The peers' listener closes only afterwards, so that
// other daemons can learn that this one is leaving.
func (s *Server) stop() error {
	s.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.DrainTimeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return stopError(PartCallers, s.callers.Stop(ctx)) })
	group.Go(func() error { return stopError(PartDaemon, s.daemon.Drain(ctx)) })
	err := group.Wait()
	s.closeAll()
	return err
}

// Kill stops all work at once, as a failure of the VM would: no shard is handed
// over and no other daemon is notified.
func (s *Server) Kill() {
	s.killOnce.Do(func() { close(s.killed) })
	s.closeAll()
}

// closeAll closes the servers, the daemon, the clients and the listeners. It skips
// those that were not created, so it also cleans up after a failed start.
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
