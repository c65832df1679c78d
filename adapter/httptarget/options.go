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
	// ConnectionWait is how long an exchange waits for a connection when its
	// target's share is in use.
	ConnectionWait time.Duration
	// IdleMax is how long a connection may lie unused. It must be shorter than
	// the time after which anything between forgets a quiet connection.
	IdleMax time.Duration
	// ProvenWithin is how recent a connection's last answer must be for a
	// non-idempotent request to go over it rather than over a new one.
	ProvenWithin time.Duration
	// SilenceAfter is how long a target may say nothing on a pooled connection
	// before it is asked over a new one, when the call does not say.
	SilenceAfter time.Duration
	// ProbeTimeout bounds that question.
	ProbeTimeout time.Duration
	// UserTimeout is how long written bytes may stay unacknowledged before the
	// kernel ends the connection.
	UserTimeout time.Duration
	// KeepAliveIdle, KeepAliveEvery and KeepAliveCount set TCP's keepalive.
	KeepAliveIdle  time.Duration
	KeepAliveEvery time.Duration
	KeepAliveCount int
	// MaxHeadBytes and MaxBodyBytes bound an answer.
	MaxHeadBytes int64
	MaxBodyBytes int64
	// Registerer takes the metrics; nil keeps them unregistered.
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
