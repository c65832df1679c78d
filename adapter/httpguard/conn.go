package httpguard

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// phase is what a connection is used for.
type phase int

const (
	// phaseHead: the head of a request is being read, or nothing of the first one has come.
	phaseHead phase = iota
	// phaseWaiting: the head was read, and the request waits for the turn of a busy
	// connection.
	phaseWaiting
	// phaseBody: the handler runs, and the body is not complete.
	phaseBody
	// phaseHandling: the handler runs, and the whole request was read.
	phaseHandling
	// phaseIdle: the last request was answered, and nothing of a next one has come.
	phaseIdle
	// phaseEnding: the last request was answered, and its body will not be read.
	phaseEnding
)

// endingTime is how long a client may read an answer after which its connection ends.
const endingTime = time.Second

// conn is a connection whose client is bounded. It implements net.Conn and syscall.Conn.
type conn struct {
	net.Conn
	server *Server
	pace   *pace

	mu sync.Mutex
	// closeIfIdle closes the connection unless a part of a request has arrived; nil until
	// it is served.
	closeIfIdle func()
	phase       phase
	// since is when the phase began, by the guard's clock.
	since time.Duration
	// headBytes and headLines are what was read of a head.
	headBytes, headLines int
	// writing is the number of writes under way, and writingSince when the first began.
	writing      int
	writingSince time.Duration
	// stopWaiting ends the waiting for a turn.
	stopWaiting context.CancelFunc
	// leaving is set once the connection is to make room for another one.
	leaving bool
	// givenUp is set once the connection was closed for what its client does.
	givenUp bool
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// enter begins a phase. c.mu is held.
func (c *conn) enter(p phase) {
	c.phase, c.since = p, c.server.guard.now()
}

// Read implements net.Conn. It counts the bytes of heads.
func (c *conn) Read(p []byte) (int, error) {
	c.pace.beforeRead()
	n, err := c.Conn.Read(p)
	c.pace.afterRead(n)
	if n == 0 {
		return n, err
	}
	if refused := c.received(p[:n]); refused != "" {
		c.refuseHead(refused, p)
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn. It notes since when a client does not take what is written.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writing == 0 {
		c.writingSince = c.server.guard.now()
	}
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing--
	c.mu.Unlock()
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.remove(c)
	c.server.guard.memory.release(c)
	return c.Conn.Close()
}

// wait notes that a request waits for its turn, which stop ends.
func (c *conn) wait(stop context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopWaiting = stop
	c.enter(phaseWaiting)
	if c.givenUp {
		stop()
	}
}

// begin notes that a request is handled from now on. hasBody is whether its body follows. It
// returns false if the connection was given up before.
func (c *conn) begin(hasBody bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.givenUp {
		return false
	}
	if hasBody {
		c.enter(phaseBody)
	} else {
		c.enter(phaseHandling)
	}
	return true
}

// bodyComplete notes that a body was read whole. It returns false if the request was given
// up before.
func (c *conn) bodyComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.givenUp {
		return false
	}
	if c.phase == phaseBody {
		c.enter(phaseHandling)
	}
	return true
}

// bodyIsComplete reports whether nothing is left to be read of the request.
func (c *conn) bodyIsComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != phaseBody
}

// end notes that a request was answered.
func (c *conn) end() {
	c.server.guard.memory.release(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBody {
		c.enter(phaseEnding)
		return
	}
	c.enter(phaseIdle)
}

// mayGiveUp reports whether there is a request that is not complete, or whose handling has
// not begun, and that was not given up.
func (c *conn) mayGiveUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isPending()
}

// isPending is mayGiveUp with c.mu held.
func (c *conn) isPending() bool {
	return !c.givenUp && (c.phase == phaseHead || c.phase == phaseWaiting || c.phase == phaseBody)
}

// wasGivenUp reports whether the connection was closed for what its client does.
func (c *conn) wasGivenUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.givenUp
}

// giveUp closes the connection for what its client does, unless a complete request is being
// handled or that was done before. It reports whether it did.
func (c *conn) giveUp(cause Cause) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isPending() {
		return false
	}
	c.close(cause)
	return true
}

// close closes the connection, unless that was done before. c.mu is held.
func (c *conn) close(cause Cause) {
	if c.givenUp {
		return
	}
	c.givenUp = true
	c.server.guard.refused.count(c.server.name, cause)
	if c.phase == phaseWaiting {
		c.stopWaiting()
	}
	// The server notices by the error of its next call, and closes the connection again.
	_ = c.Conn.Close()
}

// check ends what has taken too long.
func (c *conn) check(now time.Duration, limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	took := now - c.since
	switch {
	case c.writing > 0 && now-c.writingSince >= limits.WriteTimeout:
		c.close(CauseWriteTimeout)
	case c.phase == phaseHead && took >= limits.HeadTimeout:
		c.close(CauseHeadTimeout)
	case c.phase == phaseBody && took >= limits.BodyTimeout+endingTime:
		c.close(CauseBodyTimeout)
	case c.phase == phaseBody && took >= limits.BodyTimeout:
		c.endRead()
	case c.phase == phaseIdle && (c.leaving || took >= limits.IdleTimeout), c.leaving && c.isSilent():
		c.closeIdle()
	case c.phase == phaseEnding && took >= endingTime:
		c.close(CauseUnreadBody)
	}
}

// endRead has the reads of a body fail, so that its handler can answer. An error says that
// the connection is closed already.
func (c *conn) endRead() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// age returns for how long the connection has not been of use to its client: since it was
// opened, its last request was answered or its present one began. ok is false if it cannot
// be closed, because a complete request is being handled.
func (c *conn) age(now time.Duration) (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - c.since, c.phase != phaseHandling
}

// makeRoom closes the connection, so that another one can be served. If nothing of a request
// was read, it is closed only if nothing has arrived either.
func (c *conn) makeRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	switch {
	case c.phase == phaseIdle, c.isSilent():
		c.server.guard.refused.count(c.server.name, CauseConnections)
		c.closeIdle()
	case c.phase != phaseHandling:
		c.close(CauseConnections)
	}
}

// isSilent reports whether nothing was read from the connection yet. c.mu is held.
func (c *conn) isSilent() bool { return c.phase == phaseHead && c.headBytes == 0 }

// closeIdle closes the connection, unless a part of a request has arrived. A connection that
// is not served yet is closed as soon as it is. c.mu is held.
func (c *conn) closeIdle() {
	if c.closeIfIdle != nil {
		c.closeIfIdle()
	}
}

// serve notes that the connection is served, and how it is closed if it is idle.
func (c *conn) serve(closeIfIdle func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIfIdle = closeIfIdle
	if c.leaving {
		c.closeIdle()
	}
}
