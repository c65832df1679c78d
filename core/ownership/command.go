package ownership

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// Command is what Step asks for. GrantLease, KeepAlive, ReadOwner, Acquire and
// Release are calls of the store, each answered by exactly one event, with Err
// set when the call failed or timed out.
type Command interface{ command() }

// GrantLease asks for this daemon's lease, answered by LeaseGranted.
type GrantLease struct{ TTL time.Duration }

// KeepAlive asks for a renewal, answered by KeptAlive.
type KeepAlive struct{ ID port.LeaseID }

// RevokeLease ends a lease that is not used any more. It has no answer; when
// it fails the lease lapses by itself.
type RevokeLease struct{ ID port.LeaseID }

// ReadOwner asks for all keys under Prefix, answered by OwnerRead.
type ReadOwner struct {
	Shard  model.ShardID
	Prefix string
}

// Acquire asks for one transaction, answered by AcquireAnswered.
type Acquire struct {
	Shard      model.ShardID
	Conditions []port.Condition
	Ops        []port.Op
}

// Release asks for one transaction, answered by ReleaseAnswered.
type Release struct {
	Shard      model.ShardID
	Conditions []port.Condition
	Ops        []port.Op
}

// ShardAcquired says that this daemon owns the shard from now on.
type ShardAcquired struct {
	Shard model.ShardID
	Epoch model.Epoch
	At    time.Time
	// Clean is whether the previous owner released the shard itself: it sent
	// nothing to the shard's workers after its release.
	Clean bool
}

// ShardLost says that this daemon must at once stop acting for the shard.
type ShardLost struct {
	Shard  model.ShardID
	Reason LostReason
}

// Drained says that no shard and no lease is held after Drain.
type Drained struct{}

// LostReason is why a shard is not owned any more.
type LostReason string

// The reasons for losing a shard.
const (
	// LostLeaseLapsed: the lease's time ran out by this daemon's clock.
	LostLeaseLapsed LostReason = "lease lapsed"
	// LostLeaseGone: the store does not know the lease.
	LostLeaseGone LostReason = "lease gone"
	// LostLedgerStoodDown: the ledger stood down.
	LostLedgerStoodDown LostReason = "ledger stood down"
	// LostHandedOver: released for the daemon that should own it.
	LostHandedOver LostReason = "handed over"
	// LostDrained: released by a planned stop.
	LostDrained LostReason = "drained"
)

func (GrantLease) command()    {}
func (KeepAlive) command()     {}
func (RevokeLease) command()   {}
func (ReadOwner) command()     {}
func (Acquire) command()       {}
func (Release) command()       {}
func (ShardAcquired) command() {}
func (ShardLost) command()     {}
func (Drained) command()       {}
