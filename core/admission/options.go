package admission

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// Options sets the limits of a Queue. Zero fields take the defaults.
type Options struct {
	// MaxQueued limits the waiting tickets of all priorities together.
	MaxQueued int
	// UrgentReserve is the fraction of slots, rounded down, that only urgent
	// tickets may take while the queue is overloaded and urgent ones arrive.
	// The default is none: with strict priority an urgent ticket waits only
	// until one of many slots becomes free, whereas the reserve takes its size
	// from the other priorities.
	UrgentReserve float64
	// StandingInterval is how long the queue must have been non-empty before it
	// counts as overloaded, and how long it must have been empty before it no
	// longer does.
	StandingInterval time.Duration
	// TargetWait is the longest predicted wait, in mean service times, with
	// which a ticket below urgent is admitted while the queue is overloaded.
	TargetWait float64
	// InitialServiceTime is the service time assumed before the first
	// observation.
	InitialServiceTime time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry delay returned to
	// callers.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// Default values of Options.
const (
	DefaultMaxQueued          = 1024
	DefaultStandingInterval   = 100 * time.Millisecond
	DefaultTargetWait         = 1.2
	DefaultInitialServiceTime = 10 * time.Millisecond
	DefaultMinRetryAfter      = 250 * time.Millisecond
	DefaultMaxRetryAfter      = 30 * time.Second
)

// maxUrgentReserve limits UrgentReserve, so that lower priorities keep half of
// the slots.
const maxUrgentReserve = 0.5

// maxPassedOver is how many slots in a row may go to higher priorities while a
// ticket of this priority waits. Without a limit, a steady stream of higher
// priority would make lower priorities wait until their deadlines and then be
// refused, which costs their callers both the wait and the result.
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
