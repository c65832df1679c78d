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

// Options sets up a Store. Endpoint is required; other zero fields take their
// defaults.
type Options struct {
	// Endpoint is the store's address, host:port with a numeric host.
	Endpoint string
	// CallTimeout bounds each call, and the opening of a watch.
	CallTimeout time.Duration
	// TLS, when not nil, is used towards the store.
	TLS *tls.Config
	// Budget, when not nil, is asked before each call.
	Budget *storebudget.Budget
	// Clock is asked for the budget's and the connections' times.
	Clock port.Clock
	// Registerer, when not nil, gets the counters.
	Registerer prometheus.Registerer
	// PingTime is how long a connection that carries calls or watches may be
	// quiet before it is pinged, and PingTimeout how long the answer may take
	// until the connection is broken. The library allows no PingTime below
	// ten seconds.
	PingTime    time.Duration
	PingTimeout time.Duration
	// IdleTime is how long a connection without calls and watches is kept. It
	// is to be below the time after which middleboxes forget a connection.
	IdleTime time.Duration
	// ReconnectAfter is the least age at which a connection that ran into a
	// timeout is replaced, so that a slow store is not dialled at each call.
	ReconnectAfter time.Duration
	// MaxRequestBytes bounds an encoded transaction.
	MaxRequestBytes int
	// Dial, when not nil, opens the connections.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// The defaults of Options.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultPingTime        = 10 * time.Second
	DefaultPingTimeout     = 3 * time.Second
	DefaultIdleTime        = 20 * time.Second
	DefaultReconnectAfter  = 5 * time.Second
	DefaultMaxRequestBytes = 3 << 19
)

// OptionError is an option that cannot be used.
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
