package httpdrain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// closeInterval is the time between two attempts to close idle connections during a stop.
const closeInterval = 20 * time.Millisecond

// Server is an HTTP server that can be stopped without losing requests.
type Server struct {
	server *http.Server
	// closing makes each response the last one on its connection.
	closing atomic.Bool

	mu       sync.Mutex
	listener *listener
	conns    map[*conn]struct{}
}

// New returns a Server that serves as s does. It replaces the handler and the hook for
// states of connections of s.
func New(s *http.Server) *Server {
	d := &Server{server: s, conns: make(map[*conn]struct{})}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnState = d.noteState
	return d
}

// Serve serves the connections of a listener until Shutdown or Close, after which it
// returns http.ErrServerClosed.
func (d *Server) Serve(l net.Listener) error {
	accepting := newListener(l)
	defer close(accepting.ended)
	d.mu.Lock()
	d.listener = accepting
	d.mu.Unlock()
	err := d.server.Serve(accepting)
	if d.closing.Load() && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// CloseAfterResponses makes each response from now on the last one on its connection, so
// that callers open new ones elsewhere.
func (d *Server) CloseAfterResponses() { d.closing.Store(true) }

// Shutdown accepts the connections that have arrived and no more, closes those on which no
// request has arrived and waits for the requests in flight. If ctx ends first it returns
// the error of ctx, and leaves the remaining connections open.
func (d *Server) Shutdown(ctx context.Context) error {
	d.closing.Store(true)
	d.mu.Lock()
	l := d.listener
	d.mu.Unlock()
	if l != nil {
		l.stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.ended:
		}
	}
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for d.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return d.server.Shutdown(ctx)
}

// Close closes the listener and all connections at once.
func (d *Server) Close() error {
	d.closing.Store(true)
	return d.server.Close()
}

// closeIdle closes the connections on which no request has arrived, and returns how many
// connections there were.
func (d *Server) closeIdle() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.CloseIfIdle()
	}
	return len(d.conns)
}

// noteState follows the state of a connection.
func (d *Server) noteState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		d.mu.Lock()
		d.conns[c] = struct{}{}
		d.mu.Unlock()
	case http.StateIdle:
		c.becomeIdle()
	case http.StateClosed, http.StateHijacked:
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}
}
