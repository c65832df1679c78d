package worker

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
	"github.com/guavarill/guavarill/port"
)

// Fleet is a port.Workers over agents in the same process, found by any
// address they were added under. It is safe for concurrent use.
type Fleet struct {
	mu     sync.RWMutex
	agents map[string]*Agent
}

var _ port.Workers = (*Fleet)(nil)

// NewFleet returns a fleet without agents.
func NewFleet() *Fleet { return &Fleet{agents: make(map[string]*Agent)} }

// Add makes agent reachable at address.
func (f *Fleet) Add(address string, agent *Agent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[address] = agent
}

// Remove makes address lead nowhere.
func (f *Fleet) Remove(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.agents, address)
}

// NoAgentError says that no agent has the address.
type NoAgentError struct{ Address string }

// Error implements error.
func (e *NoAgentError) Error() string { return "no agent at " + e.Address }

// Apply carries out one request with the agent's faults.
func (f *Fleet) Apply(
	ctx context.Context,
	address string,
	req *workerv1.ApplyRequest,
) (*workerv1.ApplyResponse, error) {
	f.mu.RLock()
	agent := f.agents[address]
	f.mu.RUnlock()
	if agent == nil {
		return nil, &port.WorkerError{
			Worker:  address,
			Outcome: port.OutcomeNotDone,
			Cause:   &NoAgentError{Address: address},
		}
	}
	resp, err := agent.Exchange(ctx, proto.CloneOf(req))
	if err != nil {
		return nil, &port.WorkerError{Worker: address, Outcome: port.OutcomeUnknown, Cause: err}
	}
	return resp, nil
}

// AdvanceAll lets the tasks of all agents run up to the present.
func (f *Fleet) AdvanceAll() {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, a := range f.agents {
		a.Advance()
	}
}
