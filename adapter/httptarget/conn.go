package httptarget

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/guavarill/guavarill/core/fate"
)

// phase is where a connection stands between exchanges.
type phase uint8

const (
	// phaseIdle: no exchange; the reader holds nothing of the last answer.
	phaseIdle phase = iota
	// phaseArmed: an exchange has the connection and has written nothing.
	phaseArmed
	// phaseSent: a byte of the request was, or is being, written.
	phaseSent
	// phaseEnded: the answer is whole; the reader may hold bytes after it.
	phaseEnded
	// phaseSealed: nothing more is written.
	phaseSealed
)

// conn is a connection to a target under an http.ClientConn, with the account
// of the exchange on it.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	pool   *pool
	client *http.ClientConn
	closed atomic.Bool

	// Of the exchange, set by net/http's writer.
	wroteHead, wroteAll atomic.Bool

	mu    sync.Mutex
	phase phase
	// started is whether a write of the exchange may have handed bytes to the
	// network.
	started bool
	// parked is whether the reader found the socket empty and waits for more.
	parked   bool
	deadline time.Time
	// written and received count the exchange's bytes; cut is whether its
	// reader met the end of the connection.
	written, received int64
	cut               bool
	peeked            [1]byte

	// Of the reader, which is one goroutine at a time.
	onReadable func(fd uintptr) bool
	asked      bool
	dropped    bool
	looked     [1]byte

	// proven is when the last whole answer came, or the connection was made.
	// It belongs to the exchange, and between exchanges to the pool. It is not
	// when the connection came back to the pool, which may be later: what was
	// lost in between would count as trusted.
	proven time.Time
}

// arm begins an exchange that must not be sent after deadline.
func (c *conn) arm(deadline time.Time) {
	c.wroteHead.Store(false)
	c.wroteAll.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.phase = phaseArmed
	}
	c.deadline = deadline
	c.started = false
	c.written = 0
	c.received = 0
	c.cut = false
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += int64(n)
	if err != nil && c.written == 0 {
		// The kernel took nothing: the request was not sent, and is not.
		c.phase = phaseSealed
		c.started = false
	}
	return n, err
}

func (c *conn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseSent:
		return nil
	case phaseArmed:
	default:
		return faultSealed
	}
	if err := c.fitToSend(); err != nil {
		c.phase = phaseSealed
		return err
	}
	c.phase = phaseSent
	c.started = true
	return nil
}

// fitToSend takes the last look before a request is written.
func (c *conn) fitToSend() error {
	// A process that was paused since the engine's own look at the clock must
	// not send what its caller, and the homes of the id, have given up.
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return faultPastDeadline
	}
	var found error
	if err := c.raw.Control(func(fd uintptr) { found = arrived(fd, c.peeked[:]) }); err != nil {
		return err
	}
	return found
}

// arrived returns nil when nothing waits to be read from the socket, else what
// does. It takes nothing.
func arrived(fd uintptr, b []byte) error {
	for {
		n, _, err := unix.Recvfrom(int(fd), b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return nil
		case err != nil:
			return err
		case n == 0:
			return faultClosedByPeer
		}
		return faultUnsolicited
	}
}

// Read implements net.Conn. It waits for the socket to become readable without
// taking anything from it, and only then looks whether an exchange is there to
// take it: bytes that arrive outside one must not be kept for the next.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.raw.Read(c.onReadable); err != nil {
		return 0, err
	}
	if c.dropped {
		return 0, faultDropped
	}
	if !c.asked {
		return 0, c.unasked()
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += int64(n)
	c.cut = c.cut || err != nil
	return n, err
}

// readable is called whenever the socket may have something to read, and ends
// the wait by returning true.
func (c *conn) readable(fd uintptr) bool {
	ready := arrived(fd, c.looked[:]) != nil
	if c.look(ready) && !c.pool.put(c) {
		// Closing it here would wait for this very call to return.
		c.dropped = true
		return true
	}
	return ready
}

// look notes what the reader found, and reports whether the connection is now
// free for another exchange.
func (c *conn) look(ready bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parked = !ready
	if ready {
		c.asked = c.phase == phaseSent
		return false
	}
	if c.phase != phaseEnded {
		return false
	}
	c.phase = phaseIdle
	return true
}

// unasked says what became readable outside an exchange.
func (c *conn) unasked() error {
	n, err := c.Conn.Read(c.looked[:])
	switch {
	case n > 0:
		return faultUnsolicited
	case err != nil:
		return err
	}
	return io.EOF
}

// finish ends an exchange whose answer is whole. The connection goes back to
// the pool once its reader waits at an empty socket: net/http asks the network
// for more only when it holds nothing of its own.
func (c *conn) finish() {
	if c.ended() && !c.pool.put(c) {
		c.close()
	}
}

func (c *conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseSent {
		return false
	}
	c.phase = phaseEnded
	c.proven = time.Now()
	if !c.parked {
		return false
	}
	c.phase = phaseIdle
	return true
}

// seal ends an exchange without an answer and returns how much of the request
// was handed to the network. After it nothing more is.
func (c *conn) seal() fate.Sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseSealed
	switch {
	case !c.started:
		return fate.SentNothing
	case c.wroteAll.Load():
		return fate.SentAll
	}
	return fate.SentPart
}

func (c *conn) receivedBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// wasCut tells a connection that ended from an answer that makes no sense.
func (c *conn) wasCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// close ends the connection and the goroutines that serve it.
func (c *conn) close() {
	if c.client != nil {
		c.client.Close() //nolint:errcheck // there is nothing left to lose
	}
	c.Close() //nolint:errcheck // there is nothing left to lose
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	err := c.Conn.Close()
	c.pool.closed(c)
	return err
}
