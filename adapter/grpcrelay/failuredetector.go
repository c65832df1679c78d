package grpcrelay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/guavarill/guavarill/jobservice"
)

// goneTimeout bounds the try to reach a leader. A process that has gone is
// known at once, by a connection that is refused; silence says nothing.
const goneTimeout = 200 * time.Millisecond

// A process that is killed loses its connections one after the other, and its
// listener may be among the last: so it is tried again a few times.
const (
	goneTries = 4
	gonePause = 25 * time.Millisecond
)

// noteLost notes that a leader's stream has ended.
func (c *RelayServer) noteLost() {
	select {
	case c.lost <- struct{}{}:
	default:
	}
}

// ConnectionLost implements jobservice.Vigil.
func (c *RelayServer) ConnectionLost() <-chan struct{} { return c.lost }

// IsGone implements jobservice.Vigil. A daemon listens for its peers before it
// leads and for as long, so that nobody listening there means that it is not.
func (c *RelayServer) IsGone(ctx context.Context, address string) bool {
	for range goneTries {
		if refuses(ctx, address) {
			return true
		}
		if !jobservice.Pause(ctx, gonePause) {
			break
		}
	}
	return false
}

// refuses reports whether connections to an address are refused.
func refuses(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: goneTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// An end is of no consequence: nothing was sent.
	_ = conn.Close()
	return false
}
