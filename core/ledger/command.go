package ledger

import "github.com/guavarill/guavarill/port"

// Command is what Step asks for. Load, Commit, ReadBack and ListInbox are
// calls of the store, each answered by exactly one event, with Err set when
// the call failed, timed out or was not made.
type Command interface{ command() }

// Load asks for all keys under Prefix, answered by LoadAnswered.
type Load struct{ Prefix string }

// Commit asks for one transaction, answered by TxnAnswered. It must not be
// carried out when the daemon is unsure of its lease; the answer is then a
// StoreError with port.OutcomeNotDone.
type Commit struct {
	ID         uint64
	Conditions []port.Condition
	Ops        []port.Op
	// Bytes is the sum of the values written.
	Bytes int
}

// ReadBack asks for all keys under Prefix, answered by ReadAnswered.
type ReadBack struct {
	ID     uint64
	Prefix string
}

// ListInbox asks for all keys under Prefix, answered by InboxListed.
type ListInbox struct{ Prefix string }

// Loaded says that the contents are known and proposals are taken.
type Loaded struct {
	Sequence uint64
	// Tasks is how many tasks were loaded; Received how many inbox items were
	// found and are proposed by the ledger itself.
	Tasks    int
	Received int
}

// Committed says that the changes are made, and may be acted on.
type Committed struct {
	Sequence uint64
	Changes  []Change
}

// Dropped says that the changes will not be made by this ledger.
type Dropped struct {
	Changes []Change
	Reason  DropReason
}

// StandDown says that the ledger is idle because the daemon is not, or may
// not be, the shard's owner; Err tells more when the stored ledger could not
// be read, as a *CorruptError.
type StandDown struct {
	Reason StandDownReason
	Err    error
}

// StandDownReason is why a ledger stood down.
type StandDownReason string

// The reasons for standing down.
const (
	// StandDownOwnerChanged: the owner key is gone or another's.
	StandDownOwnerChanged StandDownReason = "owner changed"
	// StandDownForeignCommit: another writer committed at our sequence.
	StandDownForeignCommit StandDownReason = "foreign commit"
	// StandDownCorrupt: the stored ledger is not continuous or not readable.
	StandDownCorrupt StandDownReason = "stored ledger corrupt"
)

func (Load) command()      {}
func (Commit) command()    {}
func (ReadBack) command()  {}
func (ListInbox) command() {}
func (Loaded) command()    {}
func (Committed) command() {}
func (Dropped) command()   {}
func (StandDown) command() {}
