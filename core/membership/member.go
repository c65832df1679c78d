package membership

import (
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// State is what a daemon believes of a member.
type State uint8

// The states of a member. Listed is a VM that the platform lists and of whose
// daemon nothing is known yet.
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

// ShardEpoch is a shard that a member owns and the epoch it owns it under.
type ShardEpoch struct {
	Shard model.ShardID
	Epoch model.Epoch
	// Free is the room of the shard's worker that has most. It is sent along
	// and its changes are not announced.
	Free model.Resources
}

func sameShard(a, b ShardEpoch) bool { return a.Shard == b.Shard && a.Epoch == b.Epoch }

// Member is one daemon as another sees it. Demand, StoreSilent, StoreOK,
// OwnedShards and ConfigRevision are as of the last message that came from the member
// itself; at N members they can be N periods old.
type Member struct {
	ID          model.DaemonID
	Incarnation uint64
	State       State
	Address     string
	Zone        model.Zone
	Started     time.Time
	// Draining is whether the member said that it is leaving; it stays set
	// when the member becomes suspect or dead.
	Draining bool
	// VMLeaving is whether the platform says that the member's VM is leaving.
	VMLeaving      bool
	ConfigRevision model.Revision
	Demand         map[string]Demand
	// StoreSilent is how long the store had not answered the member when it
	// said so.
	StoreSilent time.Duration
	// StoreOK is for how long, when it said so, every message of the member had
	// said that the store answers it, that is StoreSilent below
	// Options.StoreSilentAfter.
	StoreOK     time.Duration
	OwnedShards []ShardEpoch
	// LastHeard is when this daemon last had a message from the member itself.
	LastHeard time.Time
}
