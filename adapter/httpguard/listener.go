package httpguard

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// listener bounds the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. A connection for which there is no room is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.bounded(accepted); c != nil {
			return c, nil
		}
	}
}

// bounded returns an accepted connection as one whose client is bounded; nil if it was
// closed, because there is no room for it.
func (s *Server) bounded(accepted net.Conn) net.Conn {
	c := &conn{Conn: accepted, server: s, pace: newPace(s.guard.turns), since: s.guard.now()}
	if s.admit(c) {
		return c
	}
	s.guard.refused.count(s.name, CauseConnections)
	// Nothing was read from it.
	_ = accepted.Close()
	return nil
}

// SetDeadline sets the time at which Accept returns an error.
func (l *listener) SetDeadline(t time.Time) error {
	waiting, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return net.ErrClosed
	}
	return waiting.SetDeadline(t)
}

// SyscallConn implements syscall.Conn.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return socket.SyscallConn()
}

const (
	// receiveBuffer and sendBuffer are what the kernel keeps for a connection, in bytes,
	// before the other side has to wait. Linux allows twice as much, for its own records.
	receiveBuffer = 16 << 10
	sendBuffer    = 32 << 10
)

// Listen listens at a TCP address, host:port, with socket buffers of bounded size.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setBuffers}
	return config.Listen(context.Background(), "tcp", address)
}

// setBuffers sets the sizes of the buffers, which accepted connections inherit.
func setBuffers(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		if failed == nil {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
		}
	})
	if err != nil {
		return err
	}
	return failed
}
