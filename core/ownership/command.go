package ownership

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// Command is an output of Machine.Step. GrantLease, KeepAlive, ReadOwner,
// Acquire and Release are calls to the store. The caller must report the result
// of each with exactly one event, with Err set if the call failed or timed out.
type Command interface{ command() }

// GrantLease requests a lease for this daemon. Its result is LeaseGranted.
type GrantLease struct{ TTL time.Duration }

// KeepAlive requests a renewal of the lease. Its result is KeptAlive.
type KeepAlive struct{ ID port.LeaseID }

// RevokeLease ends a lease that is not used any more. Its result is not
// reported: if it fails, the lease expires by itself.
type RevokeLease struct{ ID port.LeaseID }

// ReadOwner requests all keys under Prefix. Its result is OwnerRead.
type ReadOwner struct {
	Shard  model.ShardID
	Prefix string
}

// Acquire requests one transaction that writes the owner key. Its result is
// AcquireAnswered.
type Acquire struct {
	Shard      model.ShardID
	Conditions []port.Condition
	Ops        []port.Op
}

// Release requests one transaction that deletes the owner key and writes the
// released key. Its result is ReleaseAnswered.
type Release struct {
	Shard      model.ShardID
	Conditions []port.Condition
	Ops        []port.Op
}

// ShardAcquired reports that this daemon owns the shard from now on.
type ShardAcquired struct {
	Shard model.ShardID
	Epoch model.Epoch
	At    time.Time
	// Clean is whether the previous owner released the shard voluntarily and
	// therefore sent nothing to the shard's workers after the release.
	Clean bool
}

// ShardLost reports that this daemon must stop acting for the shard at once.
type ShardLost struct {
	Shard  model.ShardID
	Reason LostReason
}

// Drained reports that, after Drain, the daemon holds no shard and no lease any
// more.
type Drained struct{}

// LostReason is the reason why a shard is not owned any more.
type LostReason string

// The reasons of ShardLost.
const (
	// LostLeaseLapsed: the lease expired by this daemon's clock.
	LostLeaseLapsed LostReason = "lease lapsed"
	// LostLeaseGone: the store does not know the lease.
	LostLeaseGone LostReason = "lease gone"
	// LostLedgerStoodDown: the shard's ledger stood down, see LedgerStoodDown.
	LostLedgerStoodDown LostReason = "ledger stood down"
	// LostHandedOver: the shard was released for its assigned owner.
	LostHandedOver LostReason = "handed over"
	// LostDrained: the shard was released in a planned stop.
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
