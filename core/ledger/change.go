package ledger

import "github.com/guavarill/guavarill/core/model"

// Change is one proposed change of the ledger. Exactly one field is set.
type Change struct {
	// Put replaces a task's whole record, or creates it as pending.
	Put *Task
	// Remove forgets a task that is over or was moved.
	Remove     *model.TaskKey
	Quarantine *Quarantine
	Handoff    *Handoff
	Receive    *InboxItem
}

// Handoff gives a pending task to another shard. The sender's moved record is
// implied.
type Handoff struct {
	// Task is the record as the receiver gets it.
	Task Task
	To   model.ShardID
}

// InboxItem is a task that another shard handed to this one and that is not
// yet in this ledger.
type InboxItem struct {
	// Key is the store key that holds the item.
	Key         string
	ModRevision int64
	Task        Task
	From        model.ShardID
}

// TaskKey returns the task that the change is about; false for a quarantine
// and for a malformed change.
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

// DropReason is why a proposed change was not committed.
type DropReason string

// The reasons for dropping a change.
const (
	// DropMalformed: not exactly one field is set, or a field is invalid.
	DropMalformed DropReason = "malformed change"
	// DropTransition: the task's state does not allow it.
	DropTransition DropReason = "transition not allowed"
	// DropAttempt: the attempt is not the one that must follow.
	DropAttempt DropReason = "attempt out of order"
	// DropWorker: the task would change its worker, or have none, while it
	// holds room.
	DropWorker DropReason = "worker changed within an attempt"
	// DropUnknownTask: there is no record of the task.
	DropUnknownTask DropReason = "unknown task"
	// DropNoChange: the record already says so.
	DropNoChange DropReason = "no change"
	// DropDuplicateReceive: the task already lives in this shard.
	DropDuplicateReceive DropReason = "task already received"
	// DropInboxChanged: the inbox item was gone or another when it was to be
	// received.
	DropInboxChanged DropReason = "inbox item changed"
	// DropInboxTaken: the receiver still holds an undelivered item for the
	// task.
	DropInboxTaken DropReason = "receiver's inbox already holds the task"
	// DropTooLarge: the record is over MaxRecordBytes.
	DropTooLarge DropReason = "record too large"
	// DropNotActive: this daemon does not own the shard, or has not loaded it.
	DropNotActive DropReason = "ledger not active"
	// DropOwnershipLost: ownership ended before the change was sent; it was
	// not made.
	DropOwnershipLost DropReason = "ownership lost"
	// DropOutcomeUnknown: ownership ended while the change was in flight; only
	// the next owner knows whether it was made.
	DropOutcomeUnknown DropReason = "ownership lost, outcome unknown"
)
