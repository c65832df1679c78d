// Package dissemination distributes the lists of service instances, the leaving
// hints and the configuration from the daemons that decide them to all entries.
//
// # Lists
//
// The owner of a shard publishes the whole list of the shard's instances, with the
// version (epoch, sequence): the owner's epoch and the ledger commit from which the
// list was made. A Table holds the newest list of each shard. A list with a lower
// or equal version is never installed, so repeated, reordered and late messages,
// and those of a former owner, change nothing.
//
// An entry holds the lists of all shards, including those of services for which it
// has no callers.
//
// # Push
//
// Right after a change, its owner pushes it along a shallow tree that every daemon
// computes from the owner's name and its own view of the members (Children). A
// Broadcaster keeps one push per child in flight and batches the changes that occur
// meanwhile. When a child does not respond, the change is pushed to the child's own
// children instead. Messages do not name the origin of hints and configurations;
// their tree depends on the target's address or the revision, and the daemon that
// learns of the change first also sends it to the root of that tree.
//
// # Repair
//
// Every exchange contains a summary of the lists held: one hash. When the summaries
// differ, the response contains a slice of the responder's versions: those of the
// lists changed last and a part that rotates from message to message. The requester
// records versions that are newer than its own as wanted and names them in its next
// digests, and any peer that holds a newer list than a digest names responds with
// it. A lost push is thereby repaired after about two exchanges with any up-to-date
// peers.
//
// The summary is sent as a ShardVersion whose shard is SummaryShard, whose epoch is
// the number of lists and whose sequence is the hash; no real shard has that number.
//
// # Leaving hints
//
// A hint that a target is leaving precedes the list that will say the same. It is
// pushed at once, and lasts until a newer list confirms or contradicts it or
// HintRetention has passed.
//
// # Bounds
//
// A Composer builds a message from members, configuration and hints, and adds as
// many lists as fit a byte bound. Lists that do not fit are left to repair.
package dissemination
