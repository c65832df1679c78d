package port

import (
	"context"
	"time"

	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/core/model"
)

// Workers calls the agents on workers. Its errors are *WorkerError.
type Workers interface {
	// Apply sends one batch of commands to the agent at address.
	Apply(ctx context.Context, address string, req *workerv1.ApplyRequest) (*workerv1.ApplyResponse, error)
}

// VMList reads the platform's list of VMs, which lags behind the actual VMs. Its
// errors are *VMListError.
type VMList interface {
	List(ctx context.Context) ([]model.VM, error)
}

// Peers calls other daemons. Its errors are *PeerError.
type Peers interface {
	Exchange(ctx context.Context, address string, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
	Claim(ctx context.Context, address string, req *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
}

// Clock returns the current time. Core packages receive times as arguments and
// never read a clock; adapters and daemons read a Clock, so that tests can control
// the time.
type Clock interface {
	Now() time.Time
}

// SystemClock is the system clock. Its times include a monotonic reading.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
