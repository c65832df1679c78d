package worker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	workerv1 "github.com/guavarill/guavarill/api/worker/v1"
)

// Faults are the simulated faults of the connection to an agent.
type Faults struct {
	// Silent drops every request, so that it is neither executed nor answered.
	// Tasks continue to run until their leases end.
	Silent bool
	// LoseAnswers is how many of the next requests are executed but get no
	// response.
	LoseAnswers int
	// Slow is the delay before a request is executed.
	Slow time.Duration
	// Duplicate executes every request twice.
	Duplicate bool
	// Keep keeps a copy of every request, for Replay.
	Keep bool
}

// faults is the state of an agent's faults.
type faults struct {
	failStarts atomic.Bool

	mu   sync.Mutex
	set  Faults
	kept []*workerv1.ApplyRequest
}

// LostError reports that a simulated fault dropped a request or its response.
type LostError struct{ Cause error }

// Error implements error.
func (e *LostError) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// SetFaults replaces the faults.
func (a *Agent) SetFaults(f Faults) {
	a.faults.mu.Lock()
	defer a.faults.mu.Unlock()
	a.faults.set = f
}

// SetFailStarts makes every start on the agent fail.
func (a *Agent) SetFailStarts(fail bool) { a.faults.failStarts.Store(fail) }

// Kill simulates the end of the VM: its tasks are lost, and requests get no
// response until Revive.
func (a *Agent) Kill() {
	a.SetFaults(Faults{Silent: true})
	a.Restart()
}

// Revive starts a new boot, and removes all faults.
func (a *Agent) Revive() {
	a.Restart()
	a.SetFaults(Faults{})
}

// Replay executes the kept copies of requests, like duplicates that the network
// delivers late, and returns the responses.
func (a *Agent) Replay() []*workerv1.ApplyResponse {
	a.faults.mu.Lock()
	kept := a.faults.kept
	a.faults.kept = nil
	a.faults.mu.Unlock()
	answers := make([]*workerv1.ApplyResponse, len(kept))
	for i, req := range kept {
		answers[i] = a.Apply(req)
	}
	return answers
}

// Exchange executes one request, subject to the faults of the connection. If a
// fault drops the request or the response, Exchange returns when ctx ends.
func (a *Agent) Exchange(ctx context.Context, req *workerv1.ApplyRequest) (*workerv1.ApplyResponse, error) {
	f, lose := a.takeFaults(req)
	if f.Silent {
		return nil, lost(ctx)
	}
	if err := pause(ctx, f.Slow); err != nil {
		return nil, err
	}
	resp := a.Apply(req)
	if f.Duplicate {
		a.Apply(req)
	}
	if lose || ctx.Err() != nil {
		return nil, lost(ctx)
	}
	a.Delivered(resp)
	return resp, nil
}

// takeFaults returns the faults for one request and whether its response is to
// be dropped.
func (a *Agent) takeFaults(req *workerv1.ApplyRequest) (Faults, bool) {
	a.faults.mu.Lock()
	defer a.faults.mu.Unlock()
	f := a.faults.set
	if f.Keep {
		a.faults.kept = append(a.faults.kept, proto.CloneOf(req))
	}
	lose := f.LoseAnswers > 0 && !f.Silent
	if lose {
		a.faults.set.LoseAnswers--
	}
	return f, lose
}

// lost waits until ctx ends and returns a LostError.
func lost(ctx context.Context) error {
	<-ctx.Done()
	return &LostError{Cause: errors.WithStack(ctx.Err())}
}

// pause waits for d. If ctx ends before that, it returns a LostError.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return lost(ctx)
	}
}
