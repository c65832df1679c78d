package target

import (
	"net"
	"sync"
)

// gateListener tracks the connections that it accepted, so that they can be
// counted, silenced, written to and closed.
type gateListener struct {
	net.Listener

	mu       sync.Mutex
	conns    map[*gateConn]struct{}
	most     int
	accepted int
}

// counts are the numbers of connections that are open now, that were open at
// most at once, and that were accepted in all.
type counts struct{ open, most, accepted int }

func newGateListener(l net.Listener) *gateListener {
	return &gateListener{Listener: l, conns: make(map[*gateConn]struct{})}
}

// Accept implements net.Listener.
func (l *gateListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &gateConn{Conn: nc, l: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.accepted++
	l.most = max(l.most, len(l.conns))
	return c, nil
}

func (l *gateListener) counts() counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return counts{open: len(l.conns), most: l.most, accepted: l.accepted}
}

func (l *gateListener) all() []*gateConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*gateConn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

func (l *gateListener) silence() {
	for _, c := range l.all() {
		c.silence()
	}
}

func (l *gateListener) sendAll(raw []byte) {
	for _, c := range l.all() {
		c.Write(raw) //nolint:errcheck // the client may have disconnected
	}
}

func (l *gateListener) closeAll() {
	for _, c := range l.all() {
		c.Close() //nolint:errcheck // the connection is discarded
	}
}

func (l *gateListener) remove(c *gateConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// gateConn is a connection that can be silenced. A silent connection stays open and
// discards all data in both directions.
type gateConn struct {
	net.Conn
	l *gateListener

	silenceOnce sync.Once
	silent      chan struct{}
	closeOnce   sync.Once
	closed      chan struct{}
}

func (c *gateConn) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

func (c *gateConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *gateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *gateConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *gateConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.l.remove(c)
	})
	return c.Conn.Close()
}
