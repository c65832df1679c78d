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

// Options are the times of the protocol with one worker. All owners of a
// cluster must use the same Lease, Margin and OutageGrace: a new owner reckons
// with what its predecessor may have granted. A zero field takes its default.
type Options struct {
	// Lease is how long an attempt may go on after the agent issued the grant
	// that its latest start or renewal carried.
	Lease time.Duration
	// Margin is added to every bound on the end of an attempt. It covers the
	// difference in rate between the owner's and the agent's clock over one
	// Lease, and the time an agent takes to stop a task.
	Margin time.Duration
	// RenewEvery is the time between two renewals. Lease must be at least
	// three times as long, or one lost message ends the worker's tasks.
	RenewEvery time.Duration
	// UsageEvery is the time between two requests for measurements.
	UsageEvery time.Duration
	// ReportEvery is the time between two requests for a whole report of an
	// agent that agrees on what it runs. Of one that does not, or does not know
	// the hash of a renewal, one is asked for every UsageEvery.
	ReportEvery time.Duration
	// RetryEvery is the time before a failed call, or a command that the agent
	// could not carry out yet, is tried again.
	RetryEvery time.Duration
	// OutageGrace is the age up to which a member's confirmation that the store
	// is silent lets an owner without a lease go on renewing.
	OutageGrace time.Duration
	// CallTimeout is how long one call may take.
	CallTimeout time.Duration
	// UnreachableCalls is how many calls in a row must fail before the worker
	// is reported unreachable.
	UnreachableCalls int
	// UnreachableAfter is the silence after which it is so reported whatever
	// the number of calls.
	UnreachableAfter time.Duration
}

// PredecessorExpiry is how long after a moment from which on no majority can
// have confirmed an outage of the store everything is over that earlier owners
// renewed: the latest confirmation counts for OutageGrace, and a renewal for
// Lease after it. A lease that ended is not taken up again.
func (o Options) PredecessorExpiry() time.Duration {
	o = o.withDefaults()
	return o.OutageGrace + o.Lease + o.Margin
}

// withDefaults returns o with its zero fields filled in.
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
