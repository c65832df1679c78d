package httpguard

import (
	"context"
	"io"
	stdlog "log"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/guavarill/guavarill/adapter/httpdrain"
)

// Server is an HTTP server whose clients are bounded. It can be stopped without losing
// requests.
type Server struct {
	*httpdrain.Server
	guard *Guard
	name  string
	// limit bounds the connections.
	limit int

	mu sync.Mutex
	// conns are the open connections, and leaving those that make room for others.
	conns, leaving map[*conn]struct{}
}

// NewServer returns a server for an interface, which is named in metrics and log lines. It
// keeps at most the given number of connections.
func (g *Guard) NewServer(name string, connections int, handler http.Handler) *Server {
	s := &Server{guard: g, name: name, limit: max(connections, 1), conns: make(map[*conn]struct{}), leaving: make(map[*conn]struct{})}
	s.Server = httpdrain.New(&http.Server{
		Handler: bound(handler), ConnContext: withConn,
		// Faults of clients on their connections are counted, and not logged one by one.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	})
	g.mu.Lock()
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	return s
}

// Serve serves the connections of a listener until Shutdown or Close, after which it
// returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error { return s.Server.Serve(&listener{l, s}) }

// admit makes room for a connection, and adds it. It returns false if there is no room.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.limit {
		oldest := s.oldest()
		if oldest == nil {
			return false
		}
		delete(s.conns, oldest)
		s.leaving[oldest] = struct{}{}
		oldest.makeRoom()
	}
	s.conns[c] = struct{}{}
	return true
}

// oldest returns the connection that was of no use for the longest time; nil if none can be
// closed. s.mu is held.
func (s *Server) oldest() *conn {
	now := s.guard.now()
	longest := time.Duration(-1)
	var found *conn
	for c := range s.conns {
		if age, ok := c.age(now); ok && age > longest {
			found, longest = c, age
		}
	}
	return found
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	delete(s.leaving, c)
}

// connections returns the open connections.
func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.AppendSeq(slices.Collect(maps.Keys(s.conns)), maps.Keys(s.leaving))
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn notes a connection in the context of its requests. nc is what httpdrain makes of
// a *conn.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	above, ok := nc.(interface {
		NetConn() net.Conn
		CloseIfIdle()
	})
	if !ok {
		return ctx
	}
	c, ok := above.NetConn().(*conn)
	if !ok {
		return ctx
	}
	c.serve(above.CloseIfIdle)
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, nil if it does not come through a Server.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}
