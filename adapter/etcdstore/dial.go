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
	connectPause    = 100 * time.Millisecond
	maxConnectPause = 2 * time.Second
	connectGrowth   = 1.6
	connectJitter   = 0.2
)

// passthrough is the target scheme that keeps the gRPC library from resolving the
// address.
const passthrough = "passthrough:///"

// dial returns a client connection, which connects at its first call.
func dial(o *Options) (*grpc.ClientConn, error) {
	return grpc.NewClient(passthrough+o.Endpoint, dialOptions(o)...)
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
		grpc.WithKeepaliveParams(pings(o)),
		grpc.WithStatsHandler(sendObserver{}),
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
			BaseDelay:  connectPause,
			Multiplier: connectGrowth,
			Jitter:     connectJitter,
			MaxDelay:   maxConnectPause,
		},
		MinConnectTimeout: o.CallTimeout,
	}
}

// pings returns the keepalive parameters, which detect silent connections.
// Connections without calls are not pinged, because servers of this protocol
// close a connection that pings while it has no calls; IdleTime closes them
// instead.
func pings(o *Options) keepalive.ClientParameters {
	return keepalive.ClientParameters{
		Time:                o.PingTime,
		Timeout:             o.PingTimeout,
		PermitWithoutStream: false,
	}
}
