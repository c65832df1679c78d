package traffic

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/retry"
	"github.com/guavarill/guavarill/core/routing"
	"github.com/guavarill/guavarill/port"
)

// Default values of fields in Service and Options.
const (
	DefaultTimeout     = 10 * time.Second
	DefaultMaxTimeout  = 60 * time.Second
	DefaultMaxQueue    = 1000
	DefaultClaimMaxAge = dedup.DefaultRetention / 2
)

// Service holds the engine's settings for a declared service.
type Service struct {
	Name string
	// Timeout applies to requests that set none, and MaxTimeout limits what
	// they may set. Zero values mean DefaultTimeout and DefaultMaxTimeout.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// MaxQueue limits the requests that wait for a slot at this entry; 0 means
	// DefaultMaxQueue.
	MaxQueue int
	Retry    retry.Options
}

func (s Service) withDefaults() Service {
	if s.MaxTimeout <= 0 {
		s.MaxTimeout = DefaultMaxTimeout
	}
	if s.Timeout <= 0 {
		s.Timeout = DefaultTimeout
	}
	s.Timeout = min(s.Timeout, s.MaxTimeout)
	if s.MaxQueue <= 0 {
		s.MaxQueue = DefaultMaxQueue
	}
	return s
}

// Options configures an Engine.
type Options struct {
	Zone   model.Zone
	Target Target
	// Claims records the ids of non-idempotent requests. If it is nil, this
	// entry still sends no such request twice by itself, but it does not detect
	// callers' repeats. Nil is for tests and single entries only.
	Claims Claims
	// ClaimMaxAge is how long after the start of a claim its request may still
	// be sent; 0 means DefaultClaimMaxAge. It must equal ClaimValid of dedup.
	ClaimMaxAge time.Duration
	Routing     routing.Options
	// OnLeaving is called on a traffic goroutine when a target reports that it
	// is leaving. It must not block. A refused connection does not count as
	// such a report: the process may be restarting, and the balancer stops
	// using the target for a while anyway.
	OnLeaving func(service, address string)
	// Registerer registers the metrics; with nil they are not registered.
	Registerer prometheus.Registerer
	Clock      port.Clock
	// Random returns the random numbers for choosing among targets. It must be
	// safe for concurrent use. Nil means rand.Uint64 of math/rand/v2.
	Random func() uint64
}

func (o Options) withDefaults() Options {
	o.ClaimMaxAge = cmp.Or(o.ClaimMaxAge, DefaultClaimMaxAge)
	if o.OnLeaving == nil {
		o.OnLeaving = func(string, string) {}
	}
	if o.Clock == nil {
		o.Clock = port.SystemClock{}
	}
	if o.Random == nil {
		o.Random = rand.Uint64
	}
	return o
}
