package callerapi

import (
	"cmp"
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/traffic"
)

// Defaults of Options.
const (
	DefaultMaxBodyBytes      = 1 << 20
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultReadTimeout       = 30 * time.Second
	DefaultWriteTimeout      = 120 * time.Second
	DefaultIdleTimeout       = 120 * time.Second
	DefaultBalancerNotice    = 5 * time.Second
)

// Engine is what the interface asks of package traffic.
type Engine interface {
	Do(ctx context.Context, req *traffic.Request) (*traffic.Response, error)
	Drain(ctx context.Context) error
	Serving() error
}

// Options configures a Server. Zero fields take the defaults.
type Options struct {
	Engine Engine
	// MaxBodyBytes and MaxHeaderBytes bound a request.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// ReadHeaderTimeout and ReadTimeout bound how slowly a caller may send,
	// WriteTimeout how slowly it may take its answer, counted from the end of
	// its request's head; it must exceed the longest timeout of a service.
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	WriteTimeout      time.Duration
	// IdleTimeout is how long a caller's connection may lie unused.
	IdleTimeout time.Duration
	// BalancerNotice is how long a planned stop keeps accepting after readiness
	// was withdrawn: longer than the platform's balancer takes to notice.
	BalancerNotice time.Duration
	// Log takes changes of state; nil discards them.
	Log logrus.FieldLogger
}

func (o Options) withDefaults() Options {
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, DefaultMaxBodyBytes)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	o.ReadHeaderTimeout = cmp.Or(o.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	o.ReadTimeout = cmp.Or(o.ReadTimeout, DefaultReadTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, DefaultWriteTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.BalancerNotice = cmp.Or(o.BalancerNotice, DefaultBalancerNotice)
	if o.Log == nil {
		o.Log = discard()
	}
	return o
}
