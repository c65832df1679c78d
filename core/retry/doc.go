// Package retry decides whether a request whose exchange with a target failed
// is sent again.
//
// Three rules must all allow a retry. Safety: a request that may have run is
// retried only when it is idempotent; one that certainly did not run may always
// be retried. Time: enough of the caller's deadline must be left for a
// response. Budget: every first attempt to a service adds a fraction of a token
// to the service's budget, and a retry spends one token, so that over any
// period the targets receive at most
//
//	first attempts × (1 + Ratio) + Burst
//
// exchanges, however many of them fail. Without the budget, a service with half
// of its instances failing would receive twice its load while it has half of
// its capacity.
package retry
