package grpcpeer

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/guavarill/guavarill/port"
)

// connection is one connection to a peer and the calls on it.
type connection struct {
	grpc    *grpc.ClientConn
	calls   int
	dropped bool
}

// acquire returns the peer's connection for one call, opening one when there
// is none.
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

// release ends a call. A connection on which a call met silence or a break is
// used no more: one whose flow a middlebox forgot would fail every call until
// the kernel gives up on it, many minutes later, while the peer is well, and a
// broken one would make calls wait out grpc's reconnection backoff. Other
// calls on it may still be answered, by a peer that is merely slow, and keep
// their connection.
func (c *Client) release(address string, conn *connection, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	if err != nil {
		c.stats.Failures++
	}
	if silent(err) && !conn.dropped {
		c.stats.Dropped++
		c.drop(address, conn)
		return
	}
	conn.closeIfIdle()
}

func silent(err error) bool {
	code := status.Code(err)
	return code == codes.DeadlineExceeded || code == codes.Unavailable
}

// drop takes a connection out of use.
func (c *Client) drop(address string, conn *connection) {
	conn.dropped = true
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	conn.closeIfIdle()
}

// closeIfIdle closes a connection that is out of use and has no calls left.
func (c *connection) closeIfIdle() {
	if c.dropped && c.calls == 0 {
		_ = c.grpc.Close()
	}
}
