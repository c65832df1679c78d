package httptarget

import (
	"cmp"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Defaults of Options.
const (
	DefaultConnectTimeout = time.Second
	DefaultConnectionWait = 200 * time.Millisecond
	DefaultIdleMax        = 20 * time.Second
	DefaultProvenWithin   = 5 * time.Second
	DefaultSilenceAfter   = time.Second
	DefaultProbeTimeout   = 500 * time.Millisecond
	DefaultUserTimeout    = 3 * time.Second
	DefaultKeepAliveIdle  = 5 * time.Second
	DefaultKeepAliveEvery = 2 * time.Second
	DefaultKeepAliveCount = 3
	DefaultMaxHeadBytes   = 64 << 10
	DefaultMaxBodyBytes   = 8 << 20
)

// Options configures a Target. Zero fields take the defaults.
type Options struct {
	// ConnectTimeout bounds one attempt to connect.
	ConnectTimeout time.Duration
	// ConnectionWait is how long an exchange waits for a connection when all
	// connections allowed to its target are in use.
	ConnectionWait time.Duration
	// IdleMax is how long a connection may stay idle. It must be shorter than
	// the time after which a middlebox on the path drops its state for an idle
	// connection.
	IdleMax time.Duration
	// ProvenWithin is the greatest age of a connection's last whole response, or
	// of the connection if it has had none, at which a non-idempotent request
	// may reuse it. Otherwise a new connection is made.
	ProvenWithin time.Duration
	// SilenceAfter is how long an exchange on a pooled connection may go without
	// a response before the target is probed over a new one. It applies to
	// calls that set no value of their own.
	SilenceAfter time.Duration
	// ProbeTimeout bounds one probe, including the wait for its connection.
	ProbeTimeout time.Duration
	// UserTimeout is how long written bytes may stay unacknowledged before the
	// kernel closes the connection (Linux only).
	UserTimeout time.Duration
	// KeepAliveIdle, KeepAliveEvery and KeepAliveCount configure TCP keepalive.
	KeepAliveIdle  time.Duration
	KeepAliveEvery time.Duration
	KeepAliveCount int
	// MaxHeadBytes and MaxBodyBytes bound the head and the body of a response.
	MaxHeadBytes int64
	MaxBodyBytes int64
	// Registerer registers the metrics; if it is nil, they stay unregistered.
	Registerer prometheus.Registerer
}

func (o Options) withDefaults() Options {
	o.ConnectTimeout = cmp.Or(o.ConnectTimeout, DefaultConnectTimeout)
	o.ConnectionWait = cmp.Or(o.ConnectionWait, DefaultConnectionWait)
	o.IdleMax = cmp.Or(o.IdleMax, DefaultIdleMax)
	o.ProvenWithin = cmp.Or(o.ProvenWithin, DefaultProvenWithin)
	o.SilenceAfter = cmp.Or(o.SilenceAfter, DefaultSilenceAfter)
	o.ProbeTimeout = cmp.Or(o.ProbeTimeout, DefaultProbeTimeout)
	o.UserTimeout = cmp.Or(o.UserTimeout, DefaultUserTimeout)
	o.KeepAliveIdle = cmp.Or(o.KeepAliveIdle, DefaultKeepAliveIdle)
	o.KeepAliveEvery = cmp.Or(o.KeepAliveEvery, DefaultKeepAliveEvery)
	o.KeepAliveCount = cmp.Or(o.KeepAliveCount, DefaultKeepAliveCount)
	o.MaxHeadBytes = cmp.Or(o.MaxHeadBytes, DefaultMaxHeadBytes)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, DefaultMaxBodyBytes)
	return o
}
