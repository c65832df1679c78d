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

// phase is the state of a connection with regard to its exchange.
type phase uint8

const (
	// phaseIdle: no exchange; the reader holds no bytes of the last response.
	phaseIdle phase = iota
	// phaseArmed: an exchange owns the connection and has written nothing.
	phaseArmed
	// phaseSent: a byte of the request was written or is being written.
	phaseSent
	// phaseEnded: the response is whole; the reader may hold bytes after it.
	phaseEnded
	// phaseSealed: no more writes are allowed.
	phaseSealed
)

// conn is a connection to a target, used by an http.ClientConn. It records what
// was sent and received in the current exchange.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	pool   *pool
	client *http.ClientConn
	closed atomic.Bool

	// Set by net/http's writer during the exchange.
	wroteHead, wroteAll atomic.Bool

	mu    sync.Mutex
	phase phase
	// started is whether a write of the exchange may have handed bytes to the
	// network.
	started bool
	// parked is whether the reader found the socket empty and waits for data.
	parked   bool
	deadline time.Time
	// written and received count the bytes of the exchange; readFailed is
	// whether a read of the connection failed or reached its end.
	written, received int64
	readFailed        bool
	writePeek         [1]byte

	// Used only by the reader, which is one goroutine at a time.
	onReadable func(fd uintptr) bool
	solicited  bool
	dropped    bool
	readPeek   [1]byte

	// proven is when the last whole response arrived, or when the connection
	// was made. The exchange owns it, and the pool does between exchanges. It
	// is not the time of the return to the pool, which may be later: a
	// connection lost in between would still be trusted.
	proven time.Time
}

// arm begins an exchange whose request must not be sent after deadline. A zero
// deadline sets no limit.
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
	c.readFailed = false
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
		// The kernel accepted no byte, so the request was not sent; sealing
		// keeps it from being sent later.
		c.phase = phaseSealed
		c.started = false
	}
	return n, err
}

// beginWrite checks whether the exchange may write, and records its first write.
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
	if err := c.checkBeforeSend(); err != nil {
		c.phase = phaseSealed
		return err
	}
	c.phase = phaseSent
	c.started = true
	return nil
}

// checkBeforeSend returns an error if the deadline has passed, or if the socket
// has unsolicited input or was closed by the target.
func (c *conn) checkBeforeSend() error {
	// If the process was paused after the engine checked the deadline, the
	// caller and the homes of the request id may have given the request up.
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return faultPastDeadline
	}
	var found error
	if err := c.raw.Control(func(fd uintptr) { found = pendingInput(fd, c.writePeek[:]) }); err != nil {
		return err
	}
	return found
}

// pendingInput returns nil if the socket has no pending input. Otherwise it
// returns faultUnsolicited for data, faultClosedByPeer for the end of the
// stream, or the error of the socket. It consumes nothing; b is its scratch
// buffer.
func pendingInput(fd uintptr, b []byte) error {
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
// consuming anything, and only then checks whether an exchange is in flight:
// bytes that arrive outside an exchange must not be kept for the next one.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.raw.Read(c.onReadable); err != nil {
		return 0, err
	}
	if c.dropped {
		return 0, faultDropped
	}
	if !c.solicited {
		return 0, c.unsolicitedError()
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += int64(n)
	c.readFailed = c.readFailed || err != nil
	return n, err
}

// readable is called whenever the socket may have input. It returns true to end
// the wait.
func (c *conn) readable(fd uintptr) bool {
	ready := pendingInput(fd, c.readPeek[:]) != nil
	if c.updateParked(ready) && !c.pool.release(c) {
		// Closing the connection here would deadlock: Close waits for this call.
		c.dropped = true
		return true
	}
	return ready
}

// updateParked records whether the reader found input, and reports whether the
// connection has become free for another exchange.
func (c *conn) updateParked(ready bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parked = !ready
	if ready {
		c.solicited = c.phase == phaseSent
		return false
	}
	if c.phase != phaseEnded {
		return false
	}
	c.phase = phaseIdle
	return true
}

// unsolicitedError reads the input that arrived outside an exchange and returns
// the error for it.
func (c *conn) unsolicitedError() error {
	n, err := c.Conn.Read(c.readPeek[:])
	switch {
	case n > 0:
		return faultUnsolicited
	case err != nil:
		return err
	}
	return io.EOF
}

// finish ends an exchange whose response is whole. The connection returns to the
// pool once its reader waits at an empty socket, because net/http reads from the
// network only when its own buffer is empty.
func (c *conn) finish() {
	if c.endExchange() && !c.pool.release(c) {
		c.close()
	}
}

// endExchange records the end of an exchange, and reports whether the
// connection can return to the pool at once.
func (c *conn) endExchange() bool {
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

// seal ends an exchange without a response and prevents further writes. It
// returns how much of the request may have been sent.
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

// hasReadFailed reports whether a read of the connection failed or reached its
// end, which distinguishes a truncated response from a malformed one.
func (c *conn) hasReadFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readFailed
}

// close closes the connection and stops the goroutines that serve it.
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
	c.pool.removeClosed(c)
	return err
}
