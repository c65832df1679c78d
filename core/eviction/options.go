package eviction

import "time"

// Options sets the decisions.
type Options struct {
	// ReportLag is how old reports are when they arrive, at most; one action a
	// worker is taken in that time.
	ReportLag time.Duration
	// SettleTime is how long an action takes to reach the worker and show.
	SettleTime time.Duration
	// Limit is the slowdown that a service can bear unless its own is given.
	Limit float64
	// CalmPressure is the pressure below which services are calm. Pressure is the
	// excess slowdown over the excess that the limit allows: 1 is the limit.
	CalmPressure float64
	// ConfirmCount is how many measurements in a row must be over the limit before
	// it is acted on, unless pressure is at least Severe.
	ConfirmCount   int
	SeverePressure float64
	// PeakPressure bounds, as a pressure, what one task may be predicted to add at
	// PeakStd standard deviations above its mean. A task that could add more
	// runs throttled from the start.
	PeakPressure, PeakStd float64
	// EvictionDelay is how long services may stay over the limit, with all that
	// helps throttled, before a task is evicted.
	EvictionDelay time.Duration
	// CalmFor is how long services must be calm before a task is
	// unthrottled; it doubles up to MaxCalmFor when that proves too early.
	CalmFor, MaxCalmFor time.Duration
	// MinPercent is the lowest throttle percentage; MiddlePercent is the one between it and
	// full speed.
	MinPercent, MiddlePercent uint32
	// MinRelief is the share of the excess slowdown that throttling or
	// evicting a task must be expected to take away to be worth doing.
	MinRelief float64
	// ContendedLoad is the load from which a worker's processors count as
	// contended.
	ContendedLoad float64
	// Costs weighs evictions.
	Costs Costs
}

// DefaultOptions returns the settings that the policy measurements use.
func DefaultOptions() Options {
	return Options{
		ReportLag:      10 * time.Second,
		SettleTime:     2 * time.Second,
		Limit:          1.5,
		CalmPressure:   0.6,
		ConfirmCount:   2,
		SeverePressure: 2,
		PeakPressure:   0.8,
		PeakStd:        2.5,
		EvictionDelay:  60 * time.Second,
		CalmFor:        20 * time.Second,
		MaxCalmFor:     5 * time.Minute,
		MinPercent:     20,
		MiddlePercent:  50,
		MinRelief:      0.1,
		ContendedLoad:  0.95,
		Costs:          DefaultCosts(),
	}
}
