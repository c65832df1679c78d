package httpdrain

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection that can be closed if no request has arrived on it.
type conn struct {
	net.Conn

	mu sync.Mutex
	// reading is set once bytes of a request were read.
	reading bool
	// closing is set while the read that waits for a request is being ended.
	closing bool
}

// becomeIdle records that the last request was answered.
func (c *conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseIfIdle ends the read that waits for a request, unless a part of one was read. The
// server closes the connection if the read returns nothing.
func (c *conn) CloseIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		return
	}
	c.closing = true
	// An error says that the connection is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Read implements net.Conn. A read that CloseIfIdle ends returns what has arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 && c.closing && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readArrived(p, err)
	}
	if n == 0 {
		return n, err
	}
	c.reading = true
	if c.closing {
		// The server sets the deadlines of a request once its first bytes were read.
		c.closing = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// readArrived reads what has arrived without waiting. A deadline that has passed keeps
// net.Conn from reading it. If nothing has arrived it returns the given error.
func (c *conn) readArrived(p []byte, nothing error) (int, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok || len(p) == 0 {
		return 0, nothing
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, nothing
	}
	var n int
	var failed error
	if err := raw.Control(func(fd uintptr) { n, failed = unix.Read(int(fd), p) }); err != nil {
		return 0, nothing
	}
	switch {
	case failed != nil:
		return 0, nothing
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
