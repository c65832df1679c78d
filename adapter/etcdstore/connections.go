package etcdstore

import (
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/guavarill/guavarill/port"
)

// ClosedError says that the Store was closed before the call.
type ClosedError struct{}

// Error implements error.
func (ClosedError) Error() string { return "store client is closed" }

// connection is one connection to the store and what is known of it. Its
// fields are guarded by the mutex of connections.
type connection struct {
	cc     *grpc.ClientConn
	opened time.Time
	// answered is when a call or watch last heard from the store here.
	answered time.Time
	// suspect is true after a timeout without any answer.
	suspect bool
	retired bool
	// users counts the calls and watches that use the connection.
	users int
}

// connections keeps the connection that new calls use and the retired ones
// that still have users.
//
// A connection can go silent for good while new ones work, because something
// on its way has lost track of it. One notices that calls run out of time on
// it and succeed on another. So a timeout moves later calls to a new
// connection, and an answer there closes the suspected one at once, instead of
// leaving its watches deaf until a ping fails.
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

// acquire gives the current connection, or a new one.
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

// heard notes that the store answered on c. When c is the current connection,
// the store works and the suspected ones are at fault.
func (cs *connections) heard(c *connection) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.answered = cs.clock.Now()
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

// timedOut notes that a call begun at started ran out of time on c.
func (cs *connections) timedOut(c *connection, started time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.answered.After(started) {
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
