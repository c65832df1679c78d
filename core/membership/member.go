package membership

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// State is a daemon's view of a member's state.
type State uint8

// The states of a member. Listed is a VM that the platform lists and whose
// daemon has not been contacted yet.
const (
	Listed State = iota
	Alive
	Leaving
	Suspect
	Dead
)

var stateNames = [...]string{"listed", "alive", "leaving", "suspect", "dead"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Demand is the load of one service at one entry.
type Demand struct {
	InFlight uint32
	Queued   uint32
}

// ShardEpoch is a shard that a member owns and the epoch under which it owns
// it.
type ShardEpoch struct {
	Shard model.ShardID
	Epoch model.Epoch
	// Free is the free capacity of the shard's worker with the most room. It is
	// sent with the shard, and its changes do not cause a Changed command.
	Free model.Resources
}

func sameShard(a, b ShardEpoch) bool { return a.Shard == b.Shard && a.Epoch == b.Epoch }

// Member is one daemon as seen by another. Demand, StoreSilent, StoreOK,
// OwnedShards and ConfigRevision are as of the last message from the member
// itself; with N members they can be N periods old.
type Member struct {
	ID          model.DaemonID
	Incarnation uint64
	State       State
	Address     string
	Zone        model.Zone
	Started     time.Time
	// Draining is whether the member announced that it is leaving. It stays set
	// when the member becomes suspect or dead.
	Draining bool
	// VMLeaving is whether the platform reports the member's VM as leaving.
	VMLeaving      bool
	ConfigRevision model.Revision
	Demand         map[string]Demand
	// StoreSilent is the time since the store's last response to the member, as
	// of the member's last message.
	StoreSilent time.Duration
	// StoreOK is how long, as of the member's last message, all its messages
	// have reported a responding store, that is, a StoreSilent below
	// Options.StoreSilentAfter.
	StoreOK     time.Duration
	OwnedShards []ShardEpoch
	// LastHeard is when this daemon last received a message from the member
	// itself.
	LastHeard time.Time
}
