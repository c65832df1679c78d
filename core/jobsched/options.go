package jobsched

import "time"

// Options are the limits that the platform's contract sets.
type Options struct {
	// Lease is the length of an attempt's lease: how long an attempt may run
	// without a renewal.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts; 0 means Lease.
	MaxLease time.Duration
	// LeaderTTL is how long an earlier leader may keep acting after it lost the
	// leadership, before it notices.
	LeaderTTL time.Duration
	// StopTime is how long a worker takes to stop an attempt.
	StopTime time.Duration
	// KeepFinal is how long the state of a final job can still be read.
	KeepFinal time.Duration
	// ThrottleDelay is how long a throttle takes to have an effect.
	ThrottleDelay time.Duration
	// CordonWithin is how soon after a cordon of a zone was stored it must be in
	// force; 0 if no such time is required.
	CordonWithin time.Duration
	// RoundBudget bounds the checks of a worker for a task in one placement round;
	// 0 means DefaultRoundBudget. A leader with a fraction of a core gets that
	// fraction of the default.
	RoundBudget int
	// StartsInFlight bounds the starts that have been sent but not answered; 0
	// means DefaultStartsInFlight. A leader with a fraction of a core gets that
	// fraction of the default.
	StartsInFlight int
	// LearnBudget bounds the readings from which a step learns; 0 means
	// DefaultLearnBudget. A leader with a fraction of a core gets that fraction of the
	// default.
	LearnBudget int
	// JobMemoryBytes is what accepted jobs may take at the leader; 0 means no limit.
	JobMemoryBytes int64
	// Policies are the decisions under load that are switched on.
	Policies Policies
	// OnPart is called when a part of the machine's work begins; it may be nil.
	OnPart func(Part)
}
