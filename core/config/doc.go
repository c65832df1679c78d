// Package config decides what acceptance of a manifest means, and carries the
// accepted configuration between daemons as changes per workload.
//
// An Accepted is one configuration under a revision that grows by one with each
// acceptance. Accept and Cancel derive the next one from the current one.
// Every workload in it has a generation, which grows whenever its declaration
// changes, and the number of shards over which that generation is dealt. A name
// that was removed and returns gets a higher generation than it ever had: its
// tasks would otherwise share keys with those of the old one, and a task that
// had ended would be taken for done.
//
// ApplyOp carries one acceptance or cancellation through the store: it reads
// the stored configuration, decides, and replaces it by one compare-and-swap.
// The value is compressed; a head key beside it holds the revision alone, for
// those who only ask whether there is something new.
// Operators race each other and answers get lost, so its Result says which of
// accepted, no change, conflict, refused, not applied or unknown is the case,
// and never guesses.
//
// State is what one daemon holds. It only moves to higher revisions. It answers
// a peer that is behind with the subjects (workloads, teams, retired names)
// that changed since the peer's revision, and checks each delta that it applies
// against the sender's hash of the whole.
//
// The package does no I/O. Values of type Accepted are immutable.
package config
