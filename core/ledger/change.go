package ledger

import "github.com/guavarill/guavarill/core/model"

// Change is one proposed change of the ledger. Exactly one field must be set.
type Change struct {
	// Put replaces the complete record of a task, or creates a pending task.
	Put *Task
	// Remove deletes the record of a task that has ended or was moved.
	Remove     *model.TaskKey
	Quarantine *Quarantine
	Handoff    *Handoff
	Receive    *InboxItem
}

// Handoff hands a pending task to the shard To. It also changes the task's record
// in the sender to Moved.
type Handoff struct {
	// Task is the record that the receiver gets.
	Task Task
	To   model.ShardID
}

// InboxItem is a task that the shard From handed to this one and that is not in
// this ledger yet.
type InboxItem struct {
	// Key is the store key that holds the item.
	Key         string
	ModRevision int64
	Task        Task
	From        model.ShardID
}

// TaskKey returns the key of the task that the change applies to, or false for a
// quarantine or an empty change.
func (c *Change) TaskKey() (model.TaskKey, bool) {
	switch {
	case c.Put != nil:
		return c.Put.Key, true
	case c.Remove != nil:
		return *c.Remove, true
	case c.Handoff != nil:
		return c.Handoff.Task.Key, true
	case c.Receive != nil:
		return c.Receive.Task.Key, true
	}
	return model.TaskKey{}, false
}

// DropReason is the reason why a proposed change was dropped.
type DropReason string

// The reasons of Dropped.
const (
	// DropMalformed: not exactly one field is set, or a field is invalid.
	DropMalformed DropReason = "malformed change"
	// DropTransition: the task's state does not allow the change.
	DropTransition DropReason = "transition not allowed"
	// DropAttempt: the attempt number is not the required next one.
	DropAttempt DropReason = "attempt out of order"
	// DropWorker: the task would change its worker, or have none, while its size
	// is committed on a worker, or a pending task would have one.
	DropWorker DropReason = "worker changed within an attempt"
	// DropUnknownTask: there is no record of the task.
	DropUnknownTask DropReason = "unknown task"
	// DropNoChange: the record already equals the proposed one.
	DropNoChange DropReason = "no change"
	// DropDuplicateReceive: the task is already in this shard.
	DropDuplicateReceive DropReason = "task already received"
	// DropInboxChanged: the inbox item was deleted or replaced before it was
	// received.
	DropInboxChanged DropReason = "inbox item changed"
	// DropInboxTaken: the receiver's inbox still contains an item for the task
	// that was not received.
	DropInboxTaken DropReason = "receiver's inbox already holds the task"
	// DropTooLarge: the encoded record is larger than MaxRecordBytes.
	DropTooLarge DropReason = "record too large"
	// DropNotActive: this daemon does not own the shard or has not loaded its
	// ledger.
	DropNotActive DropReason = "ledger not active"
	// DropOwnershipLost: ownership ended before the change was sent. It was not
	// committed.
	DropOwnershipLost DropReason = "ownership lost"
	// DropOutcomeUnknown: ownership ended while the change was in flight. Only
	// the next owner can find out whether it was committed.
	DropOutcomeUnknown DropReason = "ownership lost, outcome unknown"
)
