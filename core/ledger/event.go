package ledger

import (
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// Event is what Step is told.
type Event interface{ event() }

// Acquired says that this daemon became the shard's owner.
type Acquired struct{ Epoch model.Epoch }

// LoadAnswered answers Load. Err is a *port.StoreError.
type LoadAnswered struct {
	KVs      []port.KeyValue
	Revision int64
	Err      error
}

// Propose asks for changes, which are checked one by one in order against the
// effective contents.
type Propose struct {
	Changes []Change
	// Urgent commits without waiting for the flush interval.
	Urgent bool
}

// TxnAnswered answers the Commit with that ID. Err is a *port.StoreError; its
// Outcome says whether the commit may have been made.
type TxnAnswered struct {
	ID     uint64
	Result port.TxnResult
	Err    error
}

// ReadAnswered answers the ReadBack with that ID.
type ReadAnswered struct {
	ID  uint64
	KVs []port.KeyValue
	Err error
}

// InboxNotice says that another shard may have put items in the inbox.
type InboxNotice struct{}

// InboxListed answers ListInbox.
type InboxListed struct {
	KVs []port.KeyValue
	Err error
}

// OwnershipLost says that this daemon does not own the shard any more.
type OwnershipLost struct{}

// Tick lets time pass: due commits and retries are made.
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
