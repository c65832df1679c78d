package target

import (
	"net"
	"sync"
)

// trackedListener tracks the connections that it accepted, so that they can be
// counted, silenced, written to and closed.
type trackedListener struct {
	net.Listener

	mu       sync.Mutex
	conns    map[*trackedConn]struct{}
	maxOpen  int
	accepted int
}

// counts are the numbers of connections that are open now, that were open at
// most at once, and that were accepted in all.
type counts struct{ open, maxOpen, accepted int }

func newGateListener(l net.Listener) *trackedListener {
	return &trackedListener{Listener: l, conns: make(map[*trackedConn]struct{})}
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: nc, l: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.accepted++
	l.maxOpen = max(l.maxOpen, len(l.conns))
	return c, nil
}

func (l *trackedListener) counts() counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return counts{open: len(l.conns), maxOpen: l.maxOpen, accepted: l.accepted}
}

func (l *trackedListener) all() []*trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*trackedConn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

func (l *trackedListener) silence() {
	for _, c := range l.all() {
		c.silence()
	}
}

func (l *trackedListener) sendAll(raw []byte) {
	for _, c := range l.all() {
		c.Write(raw) //nolint:errcheck // the client's loss
	}
}

func (l *trackedListener) closeAll() {
	for _, c := range l.all() {
		c.Close() //nolint:errcheck // nothing is left to lose
	}
}

func (l *trackedListener) remove(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// trackedConn is a connection that can be silenced. A silent connection stays open and
// discards all data in both directions.
type trackedConn struct {
	net.Conn
	l *trackedListener

	silenceOnce sync.Once
	silent      chan struct{}
	closeOnce   sync.Once
	closed      chan struct{}
}

func (c *trackedConn) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

func (c *trackedConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.l.remove(c)
	})
	return c.Conn.Close()
}
