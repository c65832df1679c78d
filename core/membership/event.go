package membership

import (
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
)

// Event is an input of Machine.Step.
type Event interface{ event() }

// Tick advances the time. It should arrive several times a period. Random is a
// fresh random value that determines the order in which peers are contacted.
type Tick struct{ Random uint64 }

// VMsListed is a result of listing the platform's VMs. VMs of roles other than
// RoleEntry are ignored.
type VMsListed struct {
	VMs []model.VM
	Err error
}

// Received is a request from another daemon. It must be stepped before the
// response is composed.
type Received struct {
	From    *peerv1.Member
	Members []*peerv1.Member
}

// ExchangeDone is the end, successful or not, of an exchange requested by
// ExchangeWith or of any other exchange that this daemon started with the
// member. Err is a *port.PeerError.
type ExchangeDone struct {
	Peer model.DaemonID
	Resp *peerv1.ExchangeResponse
	Err  error
	// Started is when the exchange was started; zero for an exchange requested
	// by ExchangeWith.
	Started time.Time
}

// LocalState replaces the state that this daemon reports about itself.
type LocalState struct {
	ConfigRevision model.Revision
	Demand         map[string]Demand
	// StoreSilent is the time since the store's last response.
	StoreSilent time.Duration
	// AwaitsMajority makes this daemon contact a majority of the members as
	// quickly as during an outage, because OutageRenewalsEnded depends on their
	// responses.
	AwaitsMajority bool
	OwnedShards    []ShardEpoch
}

// Drain announces that this daemon is leaving.
type Drain struct{}

// Stop announces that this daemon ends now. Its last messages say so, and peers
// remove it without a suspicion.
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

// ExchangeWith requests an exchange. Its end must be returned as ExchangeDone
// within Timeout. The request's members come from Machine.OutgoingTo(Peer).
type ExchangeWith struct {
	Peer    model.DaemonID
	Address string
	Timeout time.Duration
}

// Changed reports that the members' states, addresses or owned shards in View
// changed. Changes of demand and store silence alone are not reported.
type Changed struct{}

func (ExchangeWith) command() {}
func (Changed) command()      {}
