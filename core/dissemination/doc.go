// Package dissemination carries the lists of service instances, the leaving
// hints and the configuration from the daemons that decide them to all
// entries.
//
// # Lists
//
// The owner of a shard publishes the whole list of the shard's instances,
// numbered by (epoch, sequence): the owner's epoch and the ledger commit the
// list was made from. A Table holds the newest list of each shard. A list with
// a lower or equal number is never taken, so repeated, reordered and late
// messages, and those of a former owner, change nothing.
//
// An entry holds the lists of all shards, also of services that it has no
// callers for; holding only the services it uses comes later.
//
// # Push
//
// Right after a change its owner pushes it along a shallow tree that every
// daemon computes alike from the owner's name and its own view of the members
// (Children). A Spreader keeps one push per child in flight and gathers what
// changes meanwhile. When a child does not answer, its own children are pushed
// to in its place. Hints and configurations do not say in their messages where
// they began; their tree depends on the target's address or the revision, and
// whoever has the news first also sends it to where that tree starts.
//
// # Repair
//
// Every exchange carries a summary of the lists held: one hash. When the
// summaries differ, the response carries a slice of the responder's versions:
// those changed last and a part that rotates from message to message. The
// requester remembers versions that are newer than its own as wanted and names
// them in its next digests, and any peer that holds something newer than a
// digest names answers with the lists. A push that got lost is so repaired
// after about two exchanges with any up-to-date peers.
//
// The summary travels as a ShardVersion whose shard is SummaryShard, epoch the
// number of lists and sequence the hash; no real shard has that number.
//
// # Leaving hints
//
// A hint that a target is leaving is not a list: it goes ahead of the list
// that will say the same, is pushed at once, and lasts until a newer list says
// so too or HintRetention has passed.
//
// # Bounds
//
// A Composer puts a message together: members, configuration and hints, then
// as many lists as fit a byte bound. Lists that do not fit are left to repair.
package dissemination
