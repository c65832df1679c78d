package grpcrelay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/guavarill/guavarill/jobservice"
)

// probeTimeout bounds an attempt to connect to a leader. If its process has gone,
// the connection is refused immediately; a timeout proves nothing.
const probeTimeout = 200 * time.Millisecond

// The number of probes and the interval between them. The connections of a killed
// process are closed one after the other and its listener may be among the last, so
// that a single probe could still succeed.
const (
	probeAttempts = 4
	probeInterval = 25 * time.Millisecond
)

// noteLost signals that a leader's stream has ended.
func (c *RelayServer) noteLost() {
	select {
	case c.lost <- struct{}{}:
	default:
	}
}

// ConnectionLost implements jobservice.FailureDetector.
func (c *RelayServer) ConnectionLost() <-chan struct{} { return c.lost }

// IsGone implements jobservice.FailureDetector. A daemon listens for its peers
// before it becomes the leader and for as long as it leads, so a refused connection
// means that it does not lead.
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

func refusesConnections(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// The error does not matter, as nothing was sent.
	_ = conn.Close()
	return false
}
