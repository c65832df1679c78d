// Package ownership is the state machine with which one daemon acquires, holds
// and releases shards. It does no I/O: Step takes events and returns commands.
//
// # Owner keys
//
// A daemon has one lease in the store. The owner of a shard holds the shard's
// owner key under that lease, and the key's create revision is the owner's
// epoch, so epochs only increase. The key is written only if it is absent: a
// shard is never taken from an owner. When the response to an acquire is lost,
// the outcome is determined by reading the key, which names the daemon and is
// attached to its lease.
//
// # Assignment
//
// Assign distributes the shards evenly over the candidate daemons such that few
// shards move when a daemon joins or leaves. A daemon reads the owner keys of
// the shards assigned to it. It also reads, at a low rate, the owner keys of
// the shards for which it is the fallback owner, in case the assigned owner is
// considered alive but does not acquire the shard. An owner hands a shard over
// after another daemon has been the assigned owner for Options.SettleTime.
//
// # Lease expiry
//
// The remaining lease time is counted from the sending time of the last
// answered request, on the monotonic clock of the times passed to Step, so the
// lease expires here before it expires in the store. Each Step checks the
// clock before it handles the event. MayCommit returns false from
// Options.Margin before the expiry on; it must be called before each commit and
// each command to a worker.
//
// If the lease expires and no renewal has failed, the daemon was paused and
// gives up all shards immediately. If renewals failed because the store did not
// answer, the shards are kept for a while. As long as a majority of the members
// confirms that the store is silent, with no confirmation older than
// OutageGrace, the owner may continue to renew the leases of its workers' tasks,
// but do nothing else. There is no limit on the length of such an outage.
//
// A daemon that is partitioned together with a majority can renew in this way
// while the store serves the other daemons and one of them acquires the shard.
// A new owner therefore considers inherited attempts on an unreachable worker
// over only when a majority reports that the store has answered it without
// interruption, which proves that no other daemon can have had a majority for
// the store's silence (membership.Machine.OutageRenewalsEnded).
//
// The timeouts of the store calls must be shorter than two thirds of LeaseTTL
// minus Margin: a renewal that is still in flight when the lease expires is
// treated as a pause of the daemon.
//
// # Release
//
// An owner that releases a shard voluntarily first stops acting for it. It then
// deletes its owner key and writes the released key in one transaction. The
// next owner deletes the released key when it acquires the shard; the key
// proves that the previous owner sent nothing after the release.
package ownership
