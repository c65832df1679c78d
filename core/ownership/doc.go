// Package ownership is the state machine by which one daemon acquires, holds
// and gives up the ownership of shards. It does no I/O; it is told of events
// and answers with commands.
//
// # Owner keys
//
// A daemon has one lease in the store. A shard's owner holds the shard's owner
// key under its lease; the key's create revision is the owner's epoch, so that
// epochs only grow. The key is put only where there is none: a shard is never
// taken from an owner. An acquire whose answer was lost is resolved by reading
// the key, which names the daemon and its lease.
//
// # Who should own what
//
// Assign deals the shards over the candidates, evenly and so that few move
// when one daemon comes or goes. A daemon reads the owner keys of the shards
// that it should own, and seldom those for which it is the second choice, in
// case the right owner is believed alive and does not act. An owner hands a
// shard over once another daemon has been the right owner for a while.
//
// # Time
//
// The lease's time counts from when the last answered request was sent, by the
// monotonic clock of the times handed in, so it ends here before the store
// lets it lapse. Each Step looks at the clock before it looks at the event.
// MayCommit is false from a margin before the end on, and must be asked before
// each commit and each command to a worker.
//
// When the time runs out and no renewal had failed, the daemon was paused, and
// gives all shards up at once. When renewals had failed for want of an answer,
// the shards are kept for a while: with the store's silence confirmed by a
// majority of members, each confirmation not older than OutageGrace, the owner
// may go on renewing its workers' leases, and nothing else, however long the
// outage lasts.
//
// A daemon that is cut off with a majority may do so while the store serves the
// rest and a new owner acquires the shard. So a new owner takes what it
// inherits on a worker that it cannot reach to be over only when it knows, from
// a majority that the store has answered without a break, that no other daemon
// can have had a majority for its silence (membership.Machine.StoreKeptBy).
//
// The calls' deadlines must be shorter than two thirds of LeaseTTL, less
// Margin: a renewal that is still unanswered when the lease ends counts as a
// pause.
//
// # Release
//
// An owner that gives a shard up of itself first stops acting, then deletes
// its owner key and leaves the released key, in one transaction. The next
// owner deletes that one as it acquires, and knows by it that the previous
// owner sent nothing after the release.
package ownership
