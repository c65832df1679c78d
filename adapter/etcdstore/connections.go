package etcdstore

import (
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/guavarill/guavarill/port"
)

// ClosedError is the cause of the error of a call made after the Store was
// closed.
type ClosedError struct{}

// Error implements error.
func (ClosedError) Error() string { return "store client is closed" }

// connection is one connection to the store and its state. Its fields are
// guarded by the mutex of connections.
type connection struct {
	cc     *grpc.ClientConn
	opened time.Time
	// lastResponse is when a call or a watch last received a response on the
	// connection.
	lastResponse time.Time
	// suspect is true after a timeout without any response since the call
	// began. The connection may be silent.
	suspect bool
	// retired is true once new calls no longer use the connection.
	retired bool
	// users is the number of calls and watches that use the connection.
	users int
}

// connections holds the current connection, which new calls use, and the retired
// connections that are still in use.
//
// A connection can go silent permanently while new ones work, because a
// middlebox on its path has dropped its state. The sign is that calls time out
// on it and succeed on another connection. Therefore a timeout moves later calls
// to a new connection, and a response there closes the suspected connection at
// once; otherwise its watches would receive nothing until a ping fails.
type connections struct {
	open           func() (*grpc.ClientConn, error)
	clock          port.Clock
	reconnectAfter time.Duration
	metrics        *metrics

	mu      sync.Mutex
	closed  bool
	current *connection
	retired map[*connection]struct{}
}

func newConnections(o *Options, m *metrics) *connections {
	return &connections{
		open:           func() (*grpc.ClientConn, error) { return dial(o) },
		clock:          o.Clock,
		reconnectAfter: o.ReconnectAfter,
		metrics:        m,
		retired:        make(map[*connection]struct{}),
	}
}

// acquire returns the current connection, or a new one if there is none or fresh
// is true. The caller must release it.
func (cs *connections) acquire(fresh bool) (*connection, error) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.closed {
		return nil, ClosedError{}
	}
	if fresh {
		cs.retireCurrent()
	}
	if cs.current == nil {
		cc, err := cs.open()
		if err != nil {
			return nil, err
		}
		cs.metrics.connections.Inc()
		cs.current = &connection{cc: cc, opened: cs.clock.Now()}
	}
	cs.current.users++
	return cs.current, nil
}

func (cs *connections) release(c *connection) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.users--
	cs.closeUnused(c)
}

// reconnect makes the next call use a new connection.
func (cs *connections) reconnect() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.retireCurrent()
}

func (cs *connections) retireCurrent() {
	c := cs.current
	if c == nil {
		return
	}
	cs.current = nil
	c.retired = true
	cs.retired[c] = struct{}{}
	cs.closeUnused(c)
}

func (cs *connections) closeUnused(c *connection) {
	if c.retired && c.users == 0 {
		cs.drop(c)
	}
}

func (cs *connections) drop(c *connection) {
	delete(cs.retired, c)
	_ = c.cc.Close()
}

// recordResponse records a response of the store on c. If c is the current
// connection, the store works, so recordResponse closes the retired connections
// that are suspected to be silent.
func (cs *connections) recordResponse(c *connection) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.lastResponse = cs.clock.Now()
	c.suspect = false
	if c != cs.current || len(cs.retired) == 0 {
		return
	}
	for r := range cs.retired {
		if r.suspect {
			cs.metrics.silentConnections.Inc()
			cs.drop(r)
		}
	}
}

// recordTimeout records that a call that began at started timed out on c. It
// ignores the timeout if c has received a response since then, which shows that
// the connection works.
func (cs *connections) recordTimeout(c *connection, started time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.lastResponse.After(started) {
		return
	}
	c.suspect = true
	if c == cs.current && cs.clock.Now().Sub(c.opened) >= cs.reconnectAfter {
		cs.retireCurrent()
	}
}

func (cs *connections) close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closed = true
	cs.retireCurrent()
	for c := range cs.retired {
		cs.drop(c)
	}
}
