package grpcworker

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/port"
)

// The defaults of Options.
const (
	DefaultKeepaliveAfter   = 20 * time.Second
	DefaultKeepaliveTimeout = 5 * time.Second
	DefaultMaxResponseBytes = 1 << 20
	DefaultIdleAfter        = 5 * time.Minute
)

// Options configure a Client. Zero fields take their defaults.
type Options struct {
	// Credentials secure the connections; nil means plain text.
	Credentials credentials.TransportCredentials
	// KeepaliveAfter is the time without traffic after which a connection with a
	// call in flight is probed; KeepaliveTimeout bounds the probe.
	KeepaliveAfter   time.Duration
	KeepaliveTimeout time.Duration
	// MaxResponseBytes bounds the size of one response.
	MaxResponseBytes int
	// IdleAfter is the time without a call after which a connection is closed.
	IdleAfter time.Duration
}

func (o Options) withDefaults() Options {
	if o.Credentials == nil {
		o.Credentials = insecure.NewCredentials()
	}
	o.KeepaliveAfter = cmp.Or(o.KeepaliveAfter, DefaultKeepaliveAfter)
	o.KeepaliveTimeout = cmp.Or(o.KeepaliveTimeout, DefaultKeepaliveTimeout)
	o.MaxResponseBytes = cmp.Or(o.MaxResponseBytes, DefaultMaxResponseBytes)
	o.IdleAfter = cmp.Or(o.IdleAfter, DefaultIdleAfter)
	return o
}

// Client calls the agents on workers over one connection per address. It is safe
// for concurrent use.
type Client struct {
	dial  []grpc.DialOption
	idle  time.Duration
	clock port.Clock

	mu     sync.Mutex
	conns  map[string]*conn
	closed bool
}

var _ port.Workers = (*Client)(nil)

// conn is the connection to one address.
type conn struct {
	cc   *grpc.ClientConn
	used time.Time
}

// New returns a Client. It connects to an address at the first call to it.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		dial: []grpc.DialOption{
			grpc.WithTransportCredentials(o.Credentials),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{
				Time:    o.KeepaliveAfter,
				Timeout: o.KeepaliveTimeout,
			}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(o.MaxResponseBytes)),
			grpc.WithDisableServiceConfig(),
			grpc.WithDisableRetry(),
		},
		idle:  o.IdleAfter,
		clock: port.SystemClock{},
		conns: make(map[string]*conn),
	}
}

// Apply sends one batch of commands to the agent at address. Its errors are
// *port.WorkerError: their outcome is port.OutcomeNotDone if no connection could
// be made, and port.OutcomeUnknown otherwise.
func (c *Client) Apply(
	ctx context.Context,
	address string,
	req *workerv1.ApplyRequest,
) (*workerv1.ApplyResponse, error) {
	cc, err := c.get(address)
	if err != nil {
		return nil, &port.WorkerError{Worker: address, Outcome: port.OutcomeNotDone, Cause: err}
	}
	if err := waitReady(ctx, cc); err != nil {
		// grpc-go increases the reconnection backoff of a failed connection; a new
		// connection is attempted at every call.
		c.drop(address, cc)
		return nil, &port.WorkerError{Worker: address, Outcome: port.OutcomeNotDone, Cause: err}
	}
	resp, err := workerv1.NewAgentClient(cc).Apply(ctx, req)
	if err == nil {
		return resp, nil
	}
	if hasNoResponse(err) {
		c.drop(address, cc)
	}
	return nil, &port.WorkerError{
		Worker:  address,
		Outcome: port.OutcomeUnknown,
		Cause:   errors.WithStack(err),
	}
}

// hasNoResponse reports whether a call got no response: it timed out, or its connection
// broke. A middlebox can lose a connection's state without closing it: every later
// call on that connection would time out while a new connection works. Apply
// therefore drops the connection, and the next call opens a new one.
func hasNoResponse(err error) bool {
	code := status.Code(err)
	return code == codes.DeadlineExceeded || code == codes.Unavailable
}

// Drop closes the connection to address, if there is one.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	have := c.conns[address]
	c.mu.Unlock()
	if have != nil {
		c.drop(address, have.cc)
	}
}

// Connections returns the number of open connections.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Close closes all connections. Later calls fail with a *ClosedError as the cause.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = make(map[string]*conn)
	c.closed = true
	c.mu.Unlock()
	for _, have := range conns {
		closeConn(have.cc)
	}
}

// get returns the connection to address. If there is none, it creates one and
// closes idle connections, such as those to workers that have gone.
func (c *Client) get(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, &ClosedError{}
	}
	now := c.clock.Now()
	have := c.conns[address]
	if have == nil {
		c.closeIdle(now)
		cc, err := grpc.NewClient("passthrough:///"+address, c.dial...)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		have = &conn{cc: cc}
		c.conns[address] = have
	}
	have.used = now
	return have.cc, nil
}

// closeIdle closes the connections that have been unused for the idle time.
func (c *Client) closeIdle(now time.Time) {
	for address, have := range c.conns {
		if now.Sub(have.used) >= c.idle {
			delete(c.conns, address)
			closeConn(have.cc)
		}
	}
}

// drop closes cc if it is still the connection to address.
func (c *Client) drop(address string, cc *grpc.ClientConn) {
	c.mu.Lock()
	have := c.conns[address]
	current := have != nil && have.cc == cc
	if current {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	if current {
		closeConn(cc)
	}
}

// closeConn closes cc. The only possible error is that cc is already closed.
func closeConn(cc *grpc.ClientConn) { _ = cc.Close() }
