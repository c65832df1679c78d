package ownership

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// Event is an input of Machine.Step.
type Event interface{ event() }

// Tick reports the passage of time. It should be given several times per
// Margin.
type Tick struct{}

// Members reports which daemons may own shards: those considered alive and not
// leaving.
type Members struct{ Candidates []model.DaemonID }

// Shards reports the number of shards. The number never decreases; a lower
// Count is ignored.
type Shards struct{ Count uint32 }

// LeaseGranted is the result of GrantLease. SentAt is when the request was sent
// and must include a monotonic clock reading.
type LeaseGranted struct {
	ID     port.LeaseID
	TTL    time.Duration
	SentAt time.Time
	Err    error
}

// KeptAlive is the result of KeepAlive for the lease ID. SentAt is when the
// request was sent, as in LeaseGranted. A TTL of 0 without an error means that
// the lease does not exist any more.
type KeptAlive struct {
	ID     port.LeaseID
	TTL    time.Duration
	SentAt time.Time
	Err    error
}

// OwnerRead is the result of ReadOwner: the keys found under its prefix.
type OwnerRead struct {
	Shard model.ShardID
	KVs   []port.KeyValue
	Err   error
}

// AcquireAnswered is the result of Acquire.
type AcquireAnswered struct {
	Shard  model.ShardID
	Result port.TxnResult
	Err    error
}

// ReleaseAnswered is the result of Release.
type ReleaseAnswered struct {
	Shard model.ShardID
	Err   error
}

// ShardReleased reports that another daemon announced the release of the shard. It
// saves the assigned owner the wait until its next read of the owner key.
type ShardReleased struct{ Shard model.ShardID }

// StoreSilence reports whether a majority of the known members, including this
// daemon, confirms that the store does not answer them. ConfirmedAt is the time
// of the oldest confirmation needed for the majority, or zero if there is no
// majority. The event must be given whenever ConfirmedAt changes.
type StoreSilence struct{ ConfirmedAt time.Time }

// LedgerStoodDown reports that the shard's ledger stopped because it found that
// this daemon is not, or may not be, the shard's owner, or because the stored
// ledger is corrupt.
type LedgerStoodDown struct{ Shard model.ShardID }

// Drain starts a planned stop: all shards are released and none is acquired.
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
func (ShardReleased) event()   {}
func (LedgerStoodDown) event() {}
func (Drain) event()           {}
