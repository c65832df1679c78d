package eviction

import "time"

// Options sets the decisions.
type Options struct {
	// Lag is how old reports are when they arrive, at most; one action a
	// worker is taken in that time.
	Lag time.Duration
	// Settle is how long an action takes to reach the worker and show.
	Settle time.Duration
	// Limit is the slowdown that a service can bear unless its own is given.
	Limit float64
	// Calm is the pressure below which services are calm. Pressure is the
	// excess slowdown over the excess that the limit allows: 1 is the limit.
	Calm float64
	// Confirm is how many measurements in a row must be over the limit before
	// it is acted on, unless pressure is at least Severe.
	Confirm int
	Severe  float64
	// Peak bounds, as a pressure, what one task may be predicted to add at
	// PeakStd standard deviations above its mean. A task that could add more
	// runs throttled from the start.
	Peak, PeakStd float64
	// Patience is how long services may stay over the limit, with all that
	// helps throttled, before a task is evicted.
	Patience time.Duration
	// CalmFor is how long services must be calm before a task is
	// unthrottled; it doubles up to MaxCalmFor when that proves too early.
	CalmFor, MaxCalmFor time.Duration
	// Floor is the lowest throttle percentage; Step is the one between it and
	// full speed.
	Floor, Step uint32
	// MinRelief is the share of the excess slowdown that throttling or
	// evicting a task must be expected to take away to be worth doing.
	MinRelief float64
	// FullLoad is the load from which a worker's processors count as
	// contended.
	FullLoad float64
	// Costs weighs evictions.
	Costs Costs
}

// DefaultOptions returns the settings that the policy measurements use.
func DefaultOptions() Options {
	return Options{
		Lag:        10 * time.Second,
		Settle:     2 * time.Second,
		Limit:      1.5,
		Calm:       0.6,
		Confirm:    2,
		Severe:     2,
		Peak:       0.8,
		PeakStd:    2.5,
		Patience:   60 * time.Second,
		CalmFor:    20 * time.Second,
		MaxCalmFor: 5 * time.Minute,
		Floor:      20,
		Step:       50,
		MinRelief:  0.1,
		FullLoad:   0.95,
		Costs:      DefaultCosts(),
	}
}
