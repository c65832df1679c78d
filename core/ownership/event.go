package ownership

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// Event is what Step is told.
type Event interface{ event() }

// Tick lets time pass. It should come several times per Margin.
type Tick struct{}

// Members says which daemons may own shards: those believed alive and not
// leaving.
type Members struct{ Candidates []model.DaemonID }

// Shards says how many shards there are.
type Shards struct{ Count uint32 }

// LeaseGranted answers GrantLease. SentAt is when the request was sent, with a
// monotonic reading.
type LeaseGranted struct {
	ID     port.LeaseID
	TTL    time.Duration
	SentAt time.Time
	Err    error
}

// KeptAlive answers KeepAlive for the lease ID.
type KeptAlive struct {
	ID     port.LeaseID
	TTL    time.Duration
	SentAt time.Time
	Err    error
}

// OwnerRead answers ReadOwner with the keys found under its prefix.
type OwnerRead struct {
	Shard model.ShardID
	KVs   []port.KeyValue
	Err   error
}

// AcquireAnswered answers Acquire.
type AcquireAnswered struct {
	Shard  model.ShardID
	Result port.TxnResult
	Err    error
}

// ReleaseAnswered answers Release.
type ReleaseAnswered struct {
	Shard model.ShardID
	Err   error
}

// ShardReleased says that a daemon was heard to have given the shard up. It saves the
// right owner the wait until its next look at the owner key.
type ShardReleased struct{ Shard model.ShardID }

// StoreSilence says since when a majority of the known members, this daemon
// included, have confirmed that the store does not answer them: the time of the
// oldest of the confirmations that are needed. Zero says that no majority does.
// It must be repeated whenever that changes.
type StoreSilence struct{ ConfirmedAt time.Time }

// LedgerStoodDown says that the shard's ledger found itself not to be, or not
// surely, the owner's.
type LedgerStoodDown struct{ Shard model.ShardID }

// Drain begins a planned stop: all shards are released and none acquired.
type Drain struct{}

func (Tick) event()            {}
func (Members) event()         {}
func (Shards) event()          {}
func (LeaseGranted) event()    {}
func (KeptAlive) event()       {}
func (OwnerRead) event()       {}
func (AcquireAnswered) event() {}
func (ReleaseAnswered) event() {}
func (StoreSilence) event()    {}
func (ShardReleased) event()         {}
func (LedgerStoodDown) event() {}
func (Drain) event()           {}
