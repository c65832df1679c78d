package ledger

import (
	"fmt"
	"net/url"

	"github.com/guavarill/guavarill/core/model"
)

// The names of a shard's keys under its prefix.
const (
	ownerName    = "owner"
	releasedName = "owner-released"
	snapshotName = "ledger/snapshot"
	partName     = "ledger/part/"
	deltaName    = "ledger/delta/"
	inboxName    = "inbox/"
)

// ShardPrefix returns the prefix of all keys of a shard: owner, ledger and
// inbox.
func ShardPrefix(keyPrefix string, shard model.ShardID) string {
	return fmt.Sprintf("%sshard/%08d/", keyPrefix, shard)
}

// OwnerKey returns the key held by a shard's owner under its lease. Its create
// revision is the owner's epoch. It is also the prefix of ReleasedKey, so that
// one list reads both.
func OwnerKey(keyPrefix string, shard model.ShardID) string {
	return ShardPrefix(keyPrefix, shard) + ownerName
}

// ReleasedKey returns the key that an owner writes when it releases a shard
// voluntarily, and that the next owner deletes.
func ReleasedKey(keyPrefix string, shard model.ShardID) string {
	return ShardPrefix(keyPrefix, shard) + releasedName
}

// InboxPrefix returns the prefix of the items handed to a shard.
func InboxPrefix(keyPrefix string, shard model.ShardID) string {
	return ShardPrefix(keyPrefix, shard) + inboxName
}

// InboxKey returns the key of one task handed to a shard.
func InboxKey(keyPrefix string, shard model.ShardID, task model.TaskKey) string {
	return InboxPrefix(keyPrefix, shard) + url.PathEscape(task.String())
}

func sequenceName(sequence uint64) string { return fmt.Sprintf("%016d", sequence) }

func partOf(sequence uint64, part int) string {
	return fmt.Sprintf("%s%s/%04d", partName, sequenceName(sequence), part)
}
