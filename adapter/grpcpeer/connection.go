package grpcpeer

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/guavarill/guavarill/port"
)

// connection is a connection to a peer with the number of calls in flight on it.
// A dropped connection gets no new calls.
type connection struct {
	grpc    *grpc.ClientConn
	calls   int
	dropped bool
}

// acquire returns the connection to a peer for one call. It opens one if there is
// none.
func (c *Client) acquire(address string) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Calls++
	if c.closed {
		c.stats.Failures++
		return nil, &port.PeerError{Peer: address, Kind: port.PeerUnreachable, Cause: errClosed}
	}
	conn := c.conns[address]
	if conn == nil {
		opened, err := grpc.NewClient("passthrough:///"+address, c.dialOptions()...)
		if err != nil {
			c.stats.Failures++
			return nil, &port.PeerError{Peer: address, Kind: port.PeerUnreachable, Cause: err}
		}
		conn = &connection{grpc: opened}
		c.conns[address] = conn
		c.stats.Dials++
	}
	conn.calls++
	return conn, nil
}

// release ends a call. It drops the connection if the call timed out or the
// connection broke. After a middlebox has lost the state of a connection, every
// call on it would fail until the kernel closes it, many minutes later, although
// the peer is healthy. On a broken connection, calls would wait for grpc-go's
// reconnection backoff. Other calls in flight keep the dropped connection, because
// a peer that is only slow may still answer them.
func (c *Client) release(address string, conn *connection, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	if err != nil {
		c.stats.Failures++
	}
	if hasNoResponse(err) && !conn.dropped {
		c.stats.Dropped++
		c.drop(address, conn)
		return
	}
	conn.closeIfIdle()
}

// hasNoResponse reports whether a call got no response: it timed out, or its connection
// broke.
func hasNoResponse(err error) bool {
	code := status.Code(err)
	return code == codes.DeadlineExceeded || code == codes.Unavailable
}

// drop takes a connection out of use for new calls.
func (c *Client) drop(address string, conn *connection) {
	conn.dropped = true
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	conn.closeIfIdle()
}

// closeIfIdle closes a dropped connection that has no calls in flight.
func (c *connection) closeIfIdle() {
	if c.dropped && c.calls == 0 {
		_ = c.grpc.Close()
	}
}
