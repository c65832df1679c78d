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

// The pauses between attempts to connect. The library's own would grow to two
// minutes, and a daemon would find the store back only that much later.
const (
	connectPause    = 100 * time.Millisecond
	maxConnectPause = 2 * time.Second
	connectGrowth   = 1.6
	connectJitter   = 0.2
)

// passthrough keeps the library from resolving the address.
const passthrough = "passthrough:///"

// dial makes a connection, which opens at its first call.
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
		// An answer that the library finds too large is lost after the store
		// has acted on the call. The store bounds its values itself.
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

// pings finds connections that have gone silent. It leaves connections without
// calls alone, because servers of this protocol break connections that ping
// while they carry nothing; those are closed by IdleTime instead.
func pings(o *Options) keepalive.ClientParameters {
	return keepalive.ClientParameters{
		Time:                o.PingTime,
		Timeout:             o.PingTimeout,
		PermitWithoutStream: false,
	}
}
