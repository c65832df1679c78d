package admission

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Options sets the limits of a Queue. Zero fields take the defaults.
type Options struct {
	// MaxQueued bounds the waiting tickets of all priorities together.
	MaxQueued int
	// UrgentReserve is the fraction of slots, rounded down, that only urgent
	// tickets may take while the queue is overloaded and urgent ones arrive.
	// None by default: with strict priority an urgent ticket waits for one
	// slot of many to come free, and the reserve costs the others its size.
	UrgentReserve float64
	// StandingInterval is how long the queue must have stood without becoming
	// empty before it counts as overloaded, and how long it must have been
	// empty before it no longer does.
	StandingInterval time.Duration
	// TargetWait is the longest predicted wait that a ticket below urgent is
	// admitted to while the queue is overloaded, in mean service times.
	TargetWait float64
	// InitialServiceTime is the service time assumed before any was observed.
	InitialServiceTime time.Duration
	// MinRetryAfter and MaxRetryAfter bound what callers are told.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// The defaults of Options.
const (
	DefaultMaxQueued          = 1024
	DefaultStandingInterval   = 100 * time.Millisecond
	DefaultTargetWait         = 1.2
	DefaultInitialServiceTime = 10 * time.Millisecond
	DefaultMinRetryAfter      = 250 * time.Millisecond
	DefaultMaxRetryAfter      = 30 * time.Second
)

// maxUrgentReserve leaves lower priorities half of the slots.
const maxUrgentReserve = 0.5

// maxPassedOver is how many slots in a row may go to higher priorities while
// a ticket of this one waits. Without a bound a steady stream of higher
// priority would let the lower wait until its deadline and then refuse it,
// which is the worst of both.
var maxPassedOver = [model.NumPriorities]int{
	model.PriorityLow:    64,
	model.PriorityNormal: 24,
	model.PriorityHigh:   8,
	model.PriorityUrgent: 0,
}

func (o Options) withDefaults() Options {
	if o.MaxQueued <= 0 {
		o.MaxQueued = DefaultMaxQueued
	}
	o.UrgentReserve = min(max(o.UrgentReserve, 0), maxUrgentReserve)
	if o.StandingInterval <= 0 {
		o.StandingInterval = DefaultStandingInterval
	}
	if o.TargetWait <= 0 {
		o.TargetWait = DefaultTargetWait
	}
	if o.InitialServiceTime <= 0 {
		o.InitialServiceTime = DefaultInitialServiceTime
	}
	if o.MinRetryAfter <= 0 {
		o.MinRetryAfter = DefaultMinRetryAfter
	}
	if o.MaxRetryAfter <= 0 {
		o.MaxRetryAfter = DefaultMaxRetryAfter
	}
	return o
}
