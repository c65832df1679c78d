package eviction

import "time"

// Options are the settings of a Controller.
//
// Several of them are pressures. The pressure of a service is its slowdown above
// 1, divided by the slowdown above 1 that its limit allows: 0 means undisturbed
// and 1 means that the limit is reached.
type Options struct {
	// ReportLag is the largest age of a report when it arrives. At most one
	// action per worker is taken in this time.
	ReportLag time.Duration
	// SettleTime is the time that an action takes to reach the worker and show
	// in measurements.
	SettleTime time.Duration
	// Limit is the largest acceptable slowdown of services without a limit of
	// their own.
	Limit float64
	// CalmPressure is the pressure up to which services count as calm.
	CalmPressure float64
	// ConfirmCount is the number of consecutive measurements over the limit
	// that lead to an action. At SeverePressure or more, one is enough.
	ConfirmCount   int
	SeverePressure float64
	// PeakPressure limits the pressure that one task is predicted to add, at
	// PeakStd standard deviations above the mean. A task that could add more
	// is throttled from its start.
	PeakPressure, PeakStd float64
	// EvictionDelay is how long services must have been over the limit before
	// a task is evicted, once no throttle is worthwhile any more.
	EvictionDelay time.Duration
	// CalmFor is how long services must be calm before a task is unthrottled.
	// It doubles up to MaxCalmFor if that proves too early.
	CalmFor, MaxCalmFor time.Duration
	// MinPercent is the lowest throttle percentage, and MiddlePercent the only
	// one between it and full speed.
	MinPercent, MiddlePercent uint32
	// MinRelief is the smallest worthwhile relief by throttling or evicting a
	// task, as a share of the slowdown above 1 of the services over the limit.
	MinRelief float64
	// ContendedLoad is the load from which on a worker's processors count as
	// contended, from 0 to 1.
	ContendedLoad float64
	// Costs are the weights of the costs of throttles and evictions.
	Costs Costs
}

// DefaultOptions returns the settings that the policy benchmarks use.
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
