package port

import (
	"context"
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// Workers reaches the agents on workers. An error is a *WorkerError.
type Workers interface {
	// Apply sends one batch to the agent at address.
	Apply(ctx context.Context, address string, req *workerv1.ApplyRequest) (*workerv1.ApplyResponse, error)
}

// VMList reads the platform's lagging list of VMs. An error is a
// *VMListError.
type VMList interface {
	List(ctx context.Context) ([]model.VM, error)
}

// Peers reaches other daemons. An error is a *PeerError.
type Peers interface {
	Exchange(ctx context.Context, address string, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
	Claim(ctx context.Context, address string, req *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
}

// Clock gives the time. Core packages are handed times and never ask for
// them; adapters and daemons ask a Clock so that tests can stand still.
type Clock interface {
	Now() time.Time
}

// SystemClock is the machine's clock, with its monotonic reading.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
