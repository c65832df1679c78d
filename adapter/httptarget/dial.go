package httptarget

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/traffic"
)

// dial opens the connection that take has already counted in p.open. On failure
// it gives the place back.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.t.o.ConnectTimeout)
	defer cancel()
	c, err := p.connect(ctx)
	if err != nil {
		p.t.metrics.connects.WithLabelValues(resultFailed).Inc()
		p.dialFailed()
		return nil, err
	}
	p.t.metrics.connects.WithLabelValues(resultDone).Inc()
	c.client, err = p.t.transport.NewClientConn(context.WithValue(ctx, dialedKey{}, c), "http", p.address)
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (p *pool) connect(ctx context.Context) (*conn, error) {
	nc, err := p.t.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err == nil {
		err = setUserTimeout(raw, p.t.o.UserTimeout)
	}
	if err != nil {
		nc.Close() //nolint:errcheck // the first error says more
		return nil, err
	}
	c := &conn{Conn: nc, raw: raw, pool: p, proven: time.Now()}
	c.onReadable = c.readable
	return c, nil
}

// connectError converts an error of acquiring a connection into an
// ExchangeError with its reason. Nothing of the request was sent.
func connectError(ctx context.Context, address string, err error) *traffic.ExchangeError {
	x := &traffic.ExchangeError{
		Address: address,
		Stage:   fate.Connecting,
		Sent:    fate.SentNothing,
		Reason:  fate.ReasonConnectFailed,
		Cause:   err,
	}
	switch {
	case ctx.Err() != nil:
		x.Reason = ctxReason(ctx)
	case errors.Is(err, syscall.ECONNREFUSED):
		x.Reason = fate.ReasonConnectRefused
	case errors.Is(err, faultNoShare), errors.Is(err, faultNoneFree):
		x.Reason = fate.ReasonNoConnection
	}
	return x
}

func ctxReason(ctx context.Context) fate.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fate.ReasonDeadline
	}
	return fate.ReasonCallerGone
}
