package store

import (
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
)

// listener accepts the connections and can break, silence and refuse them.
type listener struct {
	mu       sync.Mutex
	inner    net.Listener
	refusing bool
	conns    map[string]*conn
	// swallowed counts the bytes that silent connections discarded.
	swallowed atomic.Int64
}

func newListener() *listener { return &listener{conns: make(map[string]*conn)} }

func (l *listener) listen() (net.Addr, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inner = inner
	return inner.Addr(), nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.inner.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

func (l *listener) admit(inner net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refusing {
		return nil
	}
	c := &conn{Conn: inner, owner: l}
	l.conns[inner.RemoteAddr().String()] = c
	return c
}

// Close implements net.Listener.
func (l *listener) Close() error { return l.inner.Close() }

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.inner.Addr() }

func (l *listener) refuse(refusing bool) {
	l.mu.Lock()
	l.refusing = refusing
	l.mu.Unlock()
	if refusing {
		l.breakAll()
	}
}

func (l *listener) breakAll() {
	for _, c := range l.all() {
		c.breakOff()
	}
}

func (l *listener) silenceAll() {
	for _, c := range l.all() {
		c.silent.Store(true)
	}
}

// breakOne breaks the connection from a remote address.
func (l *listener) breakOne(remote string) {
	l.mu.Lock()
	c := l.conns[remote]
	l.mu.Unlock()
	if c != nil {
		c.breakOff()
	}
}

func (l *listener) all() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.conns))
}

func (l *listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remote := c.RemoteAddr().String()
	if l.conns[remote] == c {
		delete(l.conns, remote)
	}
}

// conn is a connection that can be silenced: it then discards what it receives and
// what is sent on it, and the server cannot close it. This is how a connection
// behaves after a middlebox between the two ends has dropped its state.
type conn struct {
	net.Conn
	owner  *listener
	silent atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			c.breakOff()
			return 0, err
		}
		c.owner.swallowed.Add(int64(n))
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. It does not close a silent connection, whose reader
// discards bytes until the client closes it.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.owner.forget(c)
	return c.Conn.Close()
}

func (c *conn) breakOff() {
	c.owner.forget(c)
	_ = c.Conn.Close()
}
