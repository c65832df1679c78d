package ledger

import (
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// Event is an input of Ledger.Step.
type Event interface{ event() }

// Acquired reports that this daemon became the shard's owner.
type Acquired struct{ Epoch model.Epoch }

// LoadAnswered is the result of Load. Revision is the store revision at which the
// keys were read. Err is a *port.StoreError.
type LoadAnswered struct {
	KVs      []port.KeyValue
	Revision int64
	Err      error
}

// Propose proposes changes. They are checked one by one, in order, against the
// effective contents.
type Propose struct {
	Changes []Change
	// Urgent requests a commit without waiting for the flush interval.
	Urgent bool
}

// TxnAnswered is the result of the Commit with the same ID. Err is a
// *port.StoreError; its Outcome states whether the commit may have been applied.
type TxnAnswered struct {
	ID     uint64
	Result port.TxnResult
	Err    error
}

// ReadAnswered is the result of the ReadBack with the same ID.
type ReadAnswered struct {
	ID  uint64
	KVs []port.KeyValue
	Err error
}

// InboxNotice reports that another shard may have put items into the inbox.
type InboxNotice struct{}

// InboxListed is the result of ListInbox.
type InboxListed struct {
	KVs []port.KeyValue
	Err error
}

// OwnershipLost reports that this daemon does not own the shard any more.
type OwnershipLost struct{}

// Tick reports the passage of time. Commits, retries and inbox listings that are
// due are made.
type Tick struct{}

func (Acquired) event()      {}
func (LoadAnswered) event()  {}
func (Propose) event()       {}
func (TxnAnswered) event()   {}
func (ReadAnswered) event()  {}
func (InboxNotice) event()   {}
func (InboxListed) event()   {}
func (OwnershipLost) event() {}
func (Tick) event()          {}
