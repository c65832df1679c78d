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

// Defaults of Service and Options.
const (
	DefaultTimeout     = 10 * time.Second
	DefaultMaxTimeout  = 60 * time.Second
	DefaultMaxQueue    = 1000
	DefaultClaimMaxAge = dedup.DefaultRetention / 2
)

// Service is what the engine needs to know of a declared service.
type Service struct {
	Name string
	// Timeout is the deadline of requests that name none; MaxTimeout bounds
	// what they may name. Zero fields take the defaults.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// MaxQueue bounds the requests that wait here.
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
	// Claims records the ids of non-idempotent requests. Without it none is
	// sent twice by this entry, but repeats are not recognised: for tests and
	// single entries only.
	Claims Claims
	// ClaimMaxAge is how long after a claim was begun its request may still be
	// sent; 0 takes DefaultClaimMaxAge. It must be dedup's ClaimValid.
	ClaimMaxAge time.Duration
	Routing     routing.Options
	// OnLeaving is told, on a traffic goroutine, that a target said it is
	// leaving. It must not block. A refused connection is no such word: the
	// process may be restarting, and the balancer rests the target anyway.
	OnLeaving func(service, address string)
	// Registerer takes the metrics; nil keeps them unregistered.
	Registerer prometheus.Registerer
	Clock      port.Clock
	// Random gives the numbers for choices among targets; it must be safe for
	// concurrent use. Nil takes math/rand/v2.
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
