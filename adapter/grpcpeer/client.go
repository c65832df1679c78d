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

// The defaults of ClientOptions and ServerOptions.
const (
	DefaultCallTimeout      = time.Second
	DefaultMaxMessageBytes  = 4 << 20
	DefaultKeepaliveTime    = 30 * time.Second
	DefaultKeepaliveTimeout = 5 * time.Second
)

// ClientOptions configures a Client. Zero fields take their defaults.
type ClientOptions struct {
	// Cluster is the name of the caller's cluster, which is sent with every call.
	Cluster string
	// Credentials secure the connections, see package tlsfiles; nil means plain text.
	Credentials credentials.TransportCredentials
	// CallTimeout bounds a call whose context has no earlier deadline.
	CallTimeout time.Duration
	// MaxMessageBytes bounds the size of a message in either direction.
	MaxMessageBytes int
	// KeepaliveTime is the time without traffic after which a connection is probed;
	// KeepaliveTimeout bounds the probe.
	KeepaliveTime    time.Duration
	KeepaliveTimeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// protocol overrides Protocol in tests.
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

// ClientStats holds the counters of a Client.
type ClientStats struct {
	// Calls counts the calls started, Failures those that returned an error.
	Calls    uint64
	Failures uint64
	// Dials counts the connections opened, Dropped those taken out of use because
	// a call on them got no response.
	Dials   uint64
	Dropped uint64
}

// NewClient returns a Client. It connects to a peer at the first call to it.
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

// call makes one call to the peer at address, with the caller's identity and a
// deadline. Its errors are *port.PeerError.
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

// Retain closes the connections to all addresses that are not listed, such as those
// of members that have gone. A connection with calls in flight is closed after the
// last of them.
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

// Close refuses further calls and closes each connection after the last call in
// flight on it, which ends by its deadline. Close does not wait for these calls.
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
