package etcdstore

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/core/storebudget"
	"github.com/guavarill/guavarill/port"
)

// Options configures a Store. Endpoint is required; other zero fields have the
// defaults below.
type Options struct {
	// Endpoint is the store's address, host:port with a numeric host.
	Endpoint string
	// CallTimeout is the timeout of each call and of the creation of a watch.
	CallTimeout time.Duration
	// TLS, if not nil, is the TLS configuration of the connections. If it is
	// nil, connections are not encrypted.
	TLS *tls.Config
	// Budget, if not nil, limits the rate of calls. A call beyond it fails with
	// port.StoreThrottled and is not sent.
	Budget *storebudget.Budget
	// Clock provides the time for the budget and for the age of connections.
	Clock port.Clock
	// Registerer, if not nil, is where the metrics are registered.
	Registerer prometheus.Registerer
	// PingTime is how long a connection with calls or watches may receive
	// nothing before it is pinged. PingTimeout is how long the response to a
	// ping may take before the connection is closed. The gRPC library raises a
	// PingTime below ten seconds to ten seconds.
	PingTime    time.Duration
	PingTimeout time.Duration
	// IdleTime is how long a connection without calls and watches stays open.
	// It must be below the idle timeout of middleboxes, after which they drop
	// the state of a connection.
	IdleTime time.Duration
	// ReconnectAfter is the minimum age of a connection that is replaced after
	// a timeout. It keeps calls to a slow store from each opening a connection.
	ReconnectAfter time.Duration
	// MaxRequestBytes is the maximum size of an encoded transaction, in bytes.
	MaxRequestBytes int
	// Dial, if not nil, opens the connections instead of the default dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Defaults of the fields of Options.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultPingTime        = 10 * time.Second
	DefaultPingTimeout     = 3 * time.Second
	DefaultIdleTime        = 20 * time.Second
	DefaultReconnectAfter  = 5 * time.Second
	DefaultMaxRequestBytes = 3 << 19
)

// OptionError reports an invalid option.
type OptionError struct {
	Option string
	Reason string
}

// Error implements error.
func (e *OptionError) Error() string { return fmt.Sprintf("store option %s: %s", e.Option, e.Reason) }

func (o Options) withDefaults() Options {
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.PingTime = cmp.Or(o.PingTime, DefaultPingTime)
	o.PingTimeout = cmp.Or(o.PingTimeout, DefaultPingTimeout)
	o.IdleTime = cmp.Or(o.IdleTime, DefaultIdleTime)
	o.ReconnectAfter = cmp.Or(o.ReconnectAfter, DefaultReconnectAfter)
	o.MaxRequestBytes = cmp.Or(o.MaxRequestBytes, DefaultMaxRequestBytes)
	if o.Clock == nil {
		o.Clock = port.SystemClock{}
	}
	return o
}

func (o *Options) check() error {
	if _, _, err := net.SplitHostPort(o.Endpoint); err != nil {
		return &OptionError{Option: "Endpoint", Reason: err.Error()}
	}
	if o.CallTimeout < 0 {
		return &OptionError{Option: "CallTimeout", Reason: "is negative"}
	}
	return nil
}
