package ledger

import "github.com/guavarill/guavarill/port"

// Command is an output of Ledger.Step. Load, Commit, ReadBack and ListInbox are
// calls to the store. The caller must report the result of each with exactly one
// event, with Err set if the call failed, timed out or was not made.
type Command interface{ command() }

// Load requests all keys under Prefix. Its result is LoadAnswered.
type Load struct{ Prefix string }

// Commit requests one transaction. Its result is TxnAnswered. The caller must not
// execute it unless the daemon's lease is valid with its margin; the result is
// then a StoreError with port.OutcomeNotDone.
type Commit struct {
	ID         uint64
	Conditions []port.Condition
	Ops        []port.Op
	// Bytes is the total size of the values written.
	Bytes int
}

// ReadBack requests all keys under Prefix, to determine the outcome of a commit.
// Its result is ReadAnswered.
type ReadBack struct {
	ID     uint64
	Prefix string
}

// ListInbox requests all keys under Prefix. Its result is InboxListed.
type ListInbox struct{ Prefix string }

// Loaded reports that the contents are loaded and proposals are accepted.
type Loaded struct {
	Sequence uint64
	// Tasks is the number of loaded tasks. Received is the number of inbox items
	// found, which the ledger itself proposes to receive.
	Tasks    int
	Received int
}

// Committed reports that the changes are committed and may be acted on.
type Committed struct {
	Sequence uint64
	Changes  []Change
}

// Dropped reports that this ledger will not commit the changes.
type Dropped struct {
	Changes []Change
	Reason  DropReason
}

// StandDown reports that the ledger became idle because the daemon is not, or may
// not be, the shard's owner, or because the stored ledger is corrupt. In the last
// case Err is a *CorruptError.
type StandDown struct {
	Reason StandDownReason
	Err    error
}

// StandDownReason is the reason why a ledger stood down.
type StandDownReason string

// The reasons of StandDown.
const (
	// StandDownOwnerChanged: the owner key is absent or belongs to another owner.
	StandDownOwnerChanged StandDownReason = "owner changed"
	// StandDownForeignCommit: another writer committed at the sequence of this
	// ledger's next commit.
	StandDownForeignCommit StandDownReason = "foreign commit"
	// StandDownCorrupt: the stored ledger has a gap or cannot be decoded.
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
