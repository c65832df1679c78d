package grpcrelay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/guavarill/guavarill/jobservice"
)

// probeTimeout bounds the try to reach a leader. A process that has gone is
// known at once, by a connection that is refused; silence says nothing.
const probeTimeout = 200 * time.Millisecond

// A process that is killed loses its connections one after the other, and its
// listener may be among the last: so it is tried again a few times.
const (
	probeAttempts = 4
	probeInterval = 25 * time.Millisecond
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
	for range probeAttempts {
		if refusesConnections(ctx, address) {
			return true
		}
		if !jobservice.Pause(ctx, probeInterval) {
			break
		}
	}
	return false
}

// refusesConnections reports whether connections to an address are refused.
func refusesConnections(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// An end is of no consequence: nothing was sent.
	_ = conn.Close()
	return false
}
