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

// Faults are what goes wrong on the way to an agent.
type Faults struct {
	// Silent leaves every request unheard and unanswered. Tasks run on until
	// their leases end.
	Silent bool
	// LoseAnswers is how many of the next requests are carried out without
	// their answer arriving.
	LoseAnswers int
	// Slow is the time before a request is carried out.
	Slow time.Duration
	// Duplicate carries out every request twice.
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

// LostError says that a fault swallowed a request or its answer.
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

// SetFailStarts makes the agent fail everything it is told to start.
func (a *Agent) SetFailStarts(fail bool) { a.faults.failStarts.Store(fail) }

// Kill ends the VM: its tasks are lost and nothing answers, until Revive.
func (a *Agent) Kill() {
	a.SetFaults(Faults{Silent: true})
	a.Restart()
}

// Revive begins a new boot that answers.
func (a *Agent) Revive() {
	a.Restart()
	a.SetFaults(Faults{})
}

// Replay carries out the copies that were kept, as copies that were delayed
// on their way, and returns the answers, which nobody awaits.
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

// Exchange carries out one request with the faults of the way. Without an
// answer it returns when ctx ends.
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

// takeFaults returns the faults for one request and whether its answer is to
// be lost.
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

// lost waits for the caller to give up.
func lost(ctx context.Context) error {
	<-ctx.Done()
	return &LostError{Cause: errors.WithStack(ctx.Err())}
}

// pause lets d pass.
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
