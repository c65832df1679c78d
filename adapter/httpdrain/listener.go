package httpdrain

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// listener wraps the connections that it accepts, and accepts those that have arrived
// before it ends.
type listener struct {
	net.Listener
	stopping atomic.Bool
	// ended is closed once no connection is accepted any more.
	ended chan struct{}
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, ended: make(chan struct{})}
}

// stop has Accept return the connections that have arrived, and then net.ErrClosed.
func (l *listener) stop() {
	l.stopping.Store(true)
	waiting, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || waiting.SetDeadline(time.Unix(1, 0)) != nil {
		// An error says that the listener is closed already.
		_ = l.Close()
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if l.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		accepted, err = l.acceptArrived()
	}
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted}, nil
}

// acceptArrived returns a connection that has arrived, without waiting. A deadline that
// has passed keeps net.Listener from accepting it. If there is none it returns
// net.ErrClosed.
func (l *listener) acceptArrived() (net.Conn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, net.ErrClosed
	}
	var fd int
	var failed error
	if err := raw.Control(func(listening uintptr) { fd, failed = acceptNow(int(listening)) }); err != nil || failed != nil {
		return nil, net.ErrClosed
	}
	file := os.NewFile(uintptr(fd), "accepted connection")
	defer file.Close()
	return net.FileConn(file)
}

// acceptNow accepts a connection at a listening socket that does not block, and passes
// over those that their callers have ended.
func acceptNow(listening int) (fd int, err error) {
	for {
		fd, _, err = unix.Accept4(listening, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != unix.EINTR && err != unix.ECONNABORTED {
			return fd, err
		}
	}
}
