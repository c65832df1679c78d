// Package ledger is the state machine of one shard's ledger: the authoritative
// record of the tasks in the shard and of the resources committed on its
// workers. It does no I/O: Step takes events and returns commands.
//
// # Stored form
//
// The store holds the owner key, the ledger and the inbox under the shard's
// prefix. The ledger consists of a snapshot and the deltas after it. Each delta
// is one commit and contains the complete records of the tasks that it changed.
// A snapshot that does not fit into one value is split into parts that have the
// same sequence as the value of the snapshot key. Parts of another sequence are
// left over from an unfinished compaction. Deltas that are not after the
// snapshot are ignored; a gap after the snapshot is a *CorruptError.
//
// # Commits
//
// Every commit is one transaction with at least three conditions:
//
//   - the create revision of the owner key is this owner's epoch, so that no
//     commit is applied after a change of owner;
//   - the delta key is absent, so that a commit is applied only once;
//   - the snapshot is the known one, so that a delayed copy of a commit cannot be
//     applied after a compaction has deleted its delta key.
//
// One commit is in flight at a time; proposals made in the meantime are batched
// into the next one. If the response to a commit is lost, the ledger reads the
// shard back. It then either treats the commit as applied or sends it again
// unchanged. A modified commit would be unsafe: a delayed copy of the first form
// could be applied in its place and be mistaken for it. Each delta carries the
// writer, the writer's own sequence and the epoch, which together identify the
// commit.
//
// When a compaction is due, each commit carries one part of the snapshot in
// addition to its delta. The commit with the last part replaces the snapshot key
// and deletes the deltas that the snapshot contains.
//
// # Two views
//
// Contents returns the committed state, which is the only state that may be
// acted on. Effective returns the committed state with all accepted proposals
// applied; decisions are based on it. Each proposal is checked against Effective
// with the rules in rules.go, and is dropped with a typed reason if they do not
// allow it.
//
// # Handoff
//
// A pending task is handed to another shard with two transactions: one marks the
// task as moved in this shard and puts it into the receiver's inbox; one by the
// receiver records the task as pending and deletes the inbox item. The task is
// therefore in exactly one place at every revision of the store.
package ledger
