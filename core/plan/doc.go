// Package plan validates the scheduler's decisions before they are committed. A
// Plan holds the changes that the scheduler decided to make to a shard's ledger,
// based on a snapshot. Apply checks each change against the current ledger and
// the workers' capacities, and returns only the changes that are still valid.
//
// This is the last check before the commit, and it does not rely on the
// decision being correct. Whatever the scheduler decided wrongly, or whatever
// changed since its snapshot, the committed resources of a worker never exceed
// its capacity.
package plan
