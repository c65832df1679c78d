package etcdstore

import (
	"math"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// Backoff between attempts to connect. The gRPC library's default grows to two
// minutes, which would delay a daemon's reconnection after a store outage by as
// much.
const (
	connectBaseDelay  = 100 * time.Millisecond
	connectMaxDelay   = 2 * time.Second
	connectMultiplier = 1.6
	connectJitter     = 0.2
)

// passthroughScheme is the target scheme that keeps the gRPC library from
// resolving the address.
const passthroughScheme = "passthrough:///"

// dial returns a client connection, which connects at its first call.
func dial(o *Options) (*grpc.ClientConn, error) {
	return grpc.NewClient(passthroughScheme+o.Endpoint, dialOptions(o)...)
}

func dialOptions(o *Options) []grpc.DialOption {
	creds := insecure.NewCredentials()
	if o.TLS != nil {
		creds = credentials.NewTLS(o.TLS)
	}
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithIdleTimeout(o.IdleTime),
		grpc.WithConnectParams(connectParams(o)),
		grpc.WithKeepaliveParams(keepaliveParams(o)),
		grpc.WithStatsHandler(sendStatsHandler{}),
		// The gRPC library would discard a response over its size limit after
		// the store has executed the call. The store limits the size of its
		// values itself.
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(math.MaxInt32)),
	}
	if o.Dial != nil {
		opts = append(opts, grpc.WithContextDialer(o.Dial))
	}
	return opts
}

func connectParams(o *Options) grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay:  connectBaseDelay,
			Multiplier: connectMultiplier,
			Jitter:     connectJitter,
			MaxDelay:   connectMaxDelay,
		},
		MinConnectTimeout: o.CallTimeout,
	}
}

// keepaliveParams returns the parameters of the pings that detect silent
// connections. Connections without calls are not pinged, because servers of this
// protocol close a connection that pings while it has no calls; IdleTime closes
// them instead.
func keepaliveParams(o *Options) keepalive.ClientParameters {
	return keepalive.ClientParameters{
		Time:                o.PingTime,
		Timeout:             o.PingTimeout,
		PermitWithoutStream: false,
	}
}
