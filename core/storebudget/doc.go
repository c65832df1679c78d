// Package storebudget decides when a daemon may call the platform's store.
//
// The store's rates are fixed and shared by all daemons, so each daemon gets a
// share of reads and one of writes, held in a token bucket each. Within a
// share, calls are ordered by Class: each class leaves tokens for those before
// it, so that polls cannot delay the renewal of a lease.
//
// Failures close a lane (leases, writes, reads) for a jittered, exponentially
// growing time, after which one call is let through as a probe. When a lane is
// answered again after an outage, the other lanes probe at random moments
// within a spread that grows with the number of daemons, what the buckets
// saved up is taken away, and their rates ramp up from a part. Without that,
// all daemons would come back in the same second with a whole burst each, and
// the store would go down again.
//
// Allow asks for one call and Observe reports how it ended. Both are handed
// the time; Allow is handed a random value too. A Budget is not safe for
// concurrent use.
package storebudget
