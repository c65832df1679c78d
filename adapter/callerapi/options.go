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

// Engine is the part of traffic.Engine that a Server uses.
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
	// ReadHeaderTimeout and ReadTimeout bound the time in which a caller sends
	// the head of a request and the whole request. WriteTimeout bounds the
	// time from the end of the request's head to the end of the response; it
	// must exceed the longest timeout of a service.
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	WriteTimeout      time.Duration
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
	// BalancerNotice is how long a planned stop keeps accepting requests after
	// readiness was withdrawn. It must be longer than the platform's load
	// balancer takes to detect that.
	BalancerNotice time.Duration
	// Log receives changes of state; if it is nil, they are discarded.
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
