package workersession

import (
	"cmp"
	"time"
)

// The defaults of Options.
const (
	DefaultLease             = 30 * time.Second
	DefaultMargin            = 3 * time.Second
	DefaultRenewEvery        = 5 * time.Second
	DefaultOutageGrace       = 20 * time.Second
	DefaultCallTimeout       = 2 * time.Second
	DefaultUnreachableCalls  = 3
	renewsPerUnreachable     = 3
	renewsPerUsage           = 2
	renewsPerReport          = 12
	retriesPerRenew          = 5
	callTimeoutsBeforeGiveUp = 2
)

// Options configures the protocol with one worker. All owners of a cluster must
// use the same Lease, Margin and OutageGrace, because a new owner derives from
// them when the leases of its predecessors end. A zero field selects its
// default.
type Options struct {
	// Lease is how long an attempt may run after the agent issued the grant
	// that its latest start or renewal named.
	Lease time.Duration
	// Margin is added to every bound on the end of an attempt. It covers the
	// clock drift between the owner and the agent over one Lease, and the time
	// that an agent takes to stop a task.
	Margin time.Duration
	// RenewEvery is the interval between renewals. Lease must be at least three
	// times as long, otherwise one lost message ends the worker's tasks.
	RenewEvery time.Duration
	// UsageEvery is the interval between requests for usage measurements.
	UsageEvery time.Duration
	// ReportEvery is the interval between requests for a full report from an
	// agent that confirms the hash of its attempts. An agent that does not, or
	// that does not support the hash, is asked every UsageEvery.
	ReportEvery time.Duration
	// RetryEvery is the delay before a failed call, or a command that the agent
	// could not execute yet, is retried.
	RetryEvery time.Duration
	// OutageGrace is the maximum age of a member's confirmation that the store
	// is silent for which an owner whose lease has expired may continue to
	// renew.
	OutageGrace time.Duration
	// CallTimeout is the timeout of one call.
	CallTimeout time.Duration
	// UnreachableCalls is the number of consecutive failed calls after which the
	// worker is reported unreachable.
	UnreachableCalls int
	// UnreachableAfter is the time without a response after which the worker is
	// reported unreachable regardless of the number of failed calls.
	UnreachableAfter time.Duration
}

// PredecessorExpiry returns the time after which every attempt renewed by earlier
// owners is over, counted from a time after which no majority can have confirmed
// a store outage. The latest confirmation permits renewals for OutageGrace, and
// a renewal extends a lease by Lease; Margin is added as for every bound. An
// owner does not resume renewals once they were interrupted.
func (o Options) PredecessorExpiry() time.Duration {
	o = o.withDefaults()
	return o.OutageGrace + o.Lease + o.Margin
}

// withDefaults returns o with its zero fields set to their defaults.
func (o Options) withDefaults() Options {
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.Margin = cmp.Or(o.Margin, DefaultMargin)
	o.RenewEvery = cmp.Or(o.RenewEvery, DefaultRenewEvery)
	o.UsageEvery = cmp.Or(o.UsageEvery, renewsPerUsage*o.RenewEvery)
	o.ReportEvery = cmp.Or(o.ReportEvery, renewsPerReport*o.RenewEvery)
	o.RetryEvery = cmp.Or(o.RetryEvery, o.RenewEvery/retriesPerRenew)
	o.OutageGrace = cmp.Or(o.OutageGrace, DefaultOutageGrace)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.UnreachableAfter = cmp.Or(o.UnreachableAfter, renewsPerUnreachable*o.RenewEvery)
	o.UnreachableCalls = cmp.Or(o.UnreachableCalls, DefaultUnreachableCalls)
	return o
}
