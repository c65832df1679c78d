package store

import (
	"cmp"
	"time"

	"github.com/guavarill/guavarill/port"
)

// Options configures a stand-in. Zero fields take their defaults.
type Options struct {
	// Clock drives leases and rate limits. With an injected clock, call Tick
	// after moving it: leases are also checked at every call.
	Clock port.Clock
	// History is the number of latest revisions from which watches can start.
	History int64
	// MaxValueBytes, MaxRequestBytes and MaxTxnOps are the service's limits.
	MaxValueBytes   int
	MaxRequestBytes int
	MaxTxnOps       int
	// ReadsPerSecond and WritesPerSecond are the rates above which calls are
	// refused; 0 means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// ExtendLeasesOnUp makes Up give every lease its full time again. Otherwise
	// leases also expire while the store is down.
	ExtendLeasesOnUp bool
	// LocalTimeout is the call timeout of the in-process store: with Slow at
	// or above it, calls time out.
	LocalTimeout time.Duration
}

// The defaults of Options.
const (
	DefaultHistory         = 10000
	DefaultMaxRequestBytes = 3 << 19
	DefaultMaxTxnOps       = 128
	DefaultLocalTimeout    = 2 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = port.SystemClock{}
	}
	o.History = cmp.Or(o.History, DefaultHistory)
	o.MaxValueBytes = cmp.Or(o.MaxValueBytes, port.MaxValueBytes)
	o.MaxRequestBytes = cmp.Or(o.MaxRequestBytes, DefaultMaxRequestBytes)
	o.MaxTxnOps = cmp.Or(o.MaxTxnOps, DefaultMaxTxnOps)
	o.LocalTimeout = cmp.Or(o.LocalTimeout, DefaultLocalTimeout)
	return o
}
