package membership

import (
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
)

// Event is an input of Machine.Step.
type Event interface{ event() }

// Tick lets time pass. It should come several times a period; Random is a
// fresh random value, used for the order in which peers are asked.
type Tick struct{ Random uint64 }

// VMsListed is an answer of the platform's list of VMs. VMs of other roles
// than RoleEntry are ignored.
type VMsListed struct {
	VMs []model.VM
	Err error
}

// Received is a request from another daemon. Step it before composing the
// response.
type Received struct {
	From    *peerv1.Member
	Members []*peerv1.Member
}

// ExchangeDone is the end of an exchange that ExchangeWith asked for, or of any
// other exchange this daemon started with the member. Err is a
// *port.PeerError.
type ExchangeDone struct {
	Peer model.DaemonID
	Resp *peerv1.ExchangeResponse
	Err  error
	// Started is when the exchange was started; zero for one that ExchangeWith
	// asked for.
	Started time.Time
}

// LocalState is what this daemon says of itself from now on.
type LocalState struct {
	ConfigRevision model.Revision
	Demand         map[string]Demand
	// StoreSilent is how long ago the store last answered.
	StoreSilent time.Duration
	// AwaitsMajority asks for a majority's answers as fast as in an outage, since
	// StoreKeptBy waits for nothing else.
	AwaitsMajority bool
	OwnedShards    []ShardEpoch
}

// Drain announces that this daemon is leaving.
type Drain struct{}

// Stop announces that this daemon ends now: its last messages say so, and
// peers remove it without a suspicion.
type Stop struct{}

func (Tick) event()         {}
func (VMsListed) event()    {}
func (Received) event()     {}
func (ExchangeDone) event() {}
func (LocalState) event()   {}
func (Drain) event()        {}
func (Stop) event()         {}

// Command is an output of Machine.Step.
type Command interface{ command() }

// ExchangeWith asks for an exchange; its end must come back as Answered, within
// Timeout. The request's members come from Machine.OutgoingTo(Peer).
type ExchangeWith struct {
	Peer    model.DaemonID
	Address string
	Timeout time.Duration
}

// Changed says that the members' states, addresses or owned shards in View
// changed. Changes of demand and silence alone are not announced.
type Changed struct{}

func (ExchangeWith) command() {}
func (Changed) command()      {}
