// Package storebudget decides when a daemon may call the platform's store.
//
// The store's rates are fixed and shared by all daemons, so each daemon gets a
// share of the reads and one of the writes, each enforced by a token bucket.
// Within a share, calls are ordered by Class: each class leaves tokens for more
// urgent ones, so that polls cannot delay the renewal of a lease.
//
// Failures close a lane (leases, writes or reads) for a jittered, exponentially
// growing time, after which one call is admitted as a probe. When a call in a
// lane is answered after an outage, the other lanes probe at random moments
// within a spread that grows with the number of daemons, the buckets' saved
// tokens are removed, and their rates ramp up from a fraction. Otherwise all
// daemons would return in the same second with a full burst each, and overload
// the store again.
//
// Allow requests permission for one call and Observe reports how the call
// ended. Both receive the time; Allow also receives a random value. A Budget is
// not safe for concurrent use.
package storebudget
