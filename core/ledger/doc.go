// Package ledger is the state machine of one shard's ledger: the single record
// of which tasks live in the shard and what is committed on its workers. It
// does no I/O; it is told of events and answers with commands.
//
// # Stored form
//
// Under the shard's prefix lie the owner key, the ledger and the inbox. The
// ledger is a snapshot and the deltas after it, each delta one commit that
// names the tasks it changed, whole. A snapshot that does not fit one value is
// cut into parts with the same sequence as the snapshot key's; parts of
// another sequence are left from a compaction that was not finished. Deltas
// not after the snapshot are ignored; a gap after it is a *CorruptError.
//
// # Commits
//
// Every commit is one transaction with at least three conditions:
//
//   - the owner key's create revision is this owner's epoch, so that nothing
//     lands after ownership has passed on;
//   - the delta key is absent, so that a commit lands once;
//   - the snapshot is the one that was known, so that a copy of a commit which
//     was delayed on its way cannot land after a compaction has deleted its
//     delta key.
//
// One commit is in flight at a time; proposals made meanwhile gather for the
// next one. A commit whose answer was lost is looked up in the store and then
// either taken as made or sent again unchanged: had it been altered, a delayed
// copy of the first form could land in its place and would be mistaken for it.
// Each delta carries the writer, its sequence and the epoch, by which a commit
// is recognised.
//
// When a compaction is due, a commit carries one part of the snapshot besides
// its delta; the last part replaces the snapshot key and deletes the deltas
// that it contains.
//
// # Two views
//
// Contents is what is committed, and alone may be acted on. Effective is
// Contents with all accepted proposals made, and is what decisions are based
// on. Each proposal is checked against Effective, see the transitions in
// rules.go, and dropped with a typed reason when it does not follow.
//
// # Handoff
//
// A pending task goes to another shard by one transaction that marks it moved
// here and puts it in the receiver's inbox, and by one of the receiver that
// records it as pending and deletes the item. So at every revision of the
// store the task is in exactly one place.
package ledger
