// Package retry decides whether a request whose exchange failed is sent again.
//
// Three rules must all allow it. Safety: a request that may have been run is
// sent again only when it is idempotent; one that certainly was not run always
// may be. Time: enough of the caller's deadline is left for an answer. Budget:
// every first attempt of a service earns a fraction of a retry, and a retry
// spends a whole one, so that over any span the targets receive at most
//
//	first attempts × (1 + Ratio) + Burst
//
// exchanges, however many of them fail. Without the budget a service of which
// half the instances fail would be sent twice its load just when it has half
// its capacity.
package retry
