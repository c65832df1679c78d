package grpcpeer

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/port"
)

// Defaults of ClientOptions and ServerOptions.
const (
	DefaultCallTimeout      = time.Second
	DefaultMaxMessageBytes  = 4 << 20
	DefaultKeepaliveTime    = 30 * time.Second
	DefaultKeepaliveTimeout = 5 * time.Second
)

// ClientOptions configures a Client. A field left zero takes its default.
type ClientOptions struct {
	// Cluster is the name of the cluster that calls belong to.
	Cluster string
	// Credentials are those of package tlsfiles; none when nil.
	Credentials credentials.TransportCredentials
	// CallTimeout bounds a call whose context has no earlier deadline.
	CallTimeout time.Duration
	// MaxMessageBytes bounds a message in either direction.
	MaxMessageBytes int
	// KeepaliveTime is the silence after which a connection is probed, and
	// KeepaliveTimeout how long the probe may take.
	KeepaliveTime    time.Duration
	KeepaliveTimeout time.Duration
	// Dial opens connections; TCP when nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// protocol is Protocol, but for tests.
	protocol uint32
}

func (o ClientOptions) withDefaults() ClientOptions {
	if o.Credentials == nil {
		o.Credentials = insecure.NewCredentials()
	}
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.MaxMessageBytes = cmp.Or(o.MaxMessageBytes, DefaultMaxMessageBytes)
	o.KeepaliveTime = cmp.Or(o.KeepaliveTime, DefaultKeepaliveTime)
	o.KeepaliveTimeout = cmp.Or(o.KeepaliveTimeout, DefaultKeepaliveTimeout)
	o.protocol = cmp.Or(o.protocol, Protocol)
	return o
}

// Client calls other daemons. It is safe for concurrent use.
type Client struct {
	o        ClientOptions
	identity identity

	mu     sync.Mutex
	conns  map[string]*connection
	closed bool
	stats  ClientStats
}

var _ port.Peers = (*Client)(nil)

// ClientStats counts what a Client did.
type ClientStats struct {
	// Calls counts calls started, Failures those that ended in an error.
	Calls    uint64
	Failures uint64
	// Dials counts connections opened, Dropped those closed because a call on
	// them ended in silence.
	Dials   uint64
	Dropped uint64
}

// NewClient returns a client without connections.
func NewClient(o ClientOptions) *Client {
	o = o.withDefaults()
	return &Client{
		o:        o,
		identity: identity{cluster: o.Cluster, protocol: o.protocol},
		conns:    make(map[string]*connection),
	}
}

// Exchange implements port.Peers.
func (c *Client) Exchange(ctx context.Context, address string, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return call(ctx, c, address, func(ctx context.Context, p peerv1.PeerClient) (*peerv1.ExchangeResponse, error) {
		return p.Exchange(ctx, req)
	})
}

// Claim implements port.Peers.
func (c *Client) Claim(ctx context.Context, address string, req *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return call(ctx, c, address, func(ctx context.Context, p peerv1.PeerClient) (*peerv1.ClaimResponse, error) {
		return p.Claim(ctx, req)
	})
}

func call[R any](ctx context.Context, c *Client, address string, do func(context.Context, peerv1.PeerClient) (R, error)) (R, error) {
	var none R
	conn, err := c.acquire(address)
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(c.identity.outgoing(ctx), c.o.CallTimeout)
	defer cancel()
	resp, err := do(ctx, peerv1.NewPeerClient(conn.grpc))
	c.release(address, conn, err)
	if err != nil {
		return none, peerError(address, err)
	}
	return resp, nil
}

// Retain closes the connections to all other addresses, such as those of
// members that are gone. Calls in progress on them end first.
func (c *Client) Retain(addresses []string) {
	keep := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		keep[a] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if !keep[address] {
			c.drop(address, conn)
		}
	}
}

// Close refuses further calls and ends all connections once the calls on them
// have ended, which their deadlines bound.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Retain(nil)
	return nil
}

// Stats returns the counters.
func (c *Client) Stats() ClientStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

func (c *Client) dialOptions() []grpc.DialOption {
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(c.o.Credentials),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:                c.o.KeepaliveTime,
			Timeout:             c.o.KeepaliveTimeout,
			PermitWithoutStream: true,
		}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(c.o.MaxMessageBytes),
			grpc.MaxCallSendMsgSize(c.o.MaxMessageBytes),
		),
	}
	if c.o.Dial != nil {
		opts = append(opts, grpc.WithContextDialer(c.o.Dial))
	}
	return opts
}
