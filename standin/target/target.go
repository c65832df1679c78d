package target

import (
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of the protocol between entries and targets that the stand-in reads and
// writes.
const (
	HeaderRequestID  = "Guavarill-Request-Id"
	HeaderNotStarted = "Guavarill-Not-Started"
	HeaderLeaving    = "Guavarill-Leaving"
)

// Options configures a Target.
type Options struct {
	// Name is the name of the instance. Responses do not contain it.
	Name string
	// Plan selects the fault for the request with an id; nil injects no faults. It
	// is called from several goroutines at once.
	Plan func(id string, r *http.Request) Fault
	// Work is the duration of a run without Fault.Delay.
	Work time.Duration
}

// Target is a running instance. It is safe for concurrent use.
type Target struct {
	o        Options
	listener *trackedListener
	server   *http.Server
	served   chan struct{}
	stop     chan struct{}
	once     sync.Once

	mu                sync.Mutex
	plan              func(id string, r *http.Request) Fault
	runs              map[string]int
	active            int
	maxConcurrentRuns int
	leaving           bool
}

// Start starts a target on a free port of 127.0.0.1. An error is a *StartError.
func Start(o Options) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &StartError{Cause: err}
	}
	t := &Target{
		o:        o,
		listener: newGateListener(l),
		served:   make(chan struct{}),
		stop:     make(chan struct{}),
		plan:     o.Plan,
		runs:     make(map[string]int),
	}
	t.server = &http.Server{Handler: t, ErrorLog: log.New(io.Discard, "", 0)}
	go func() {
		defer close(t.served)
		_ = t.server.Serve(t.listener) // returns http.ErrServerClosed after Close
	}()
	return t, nil
}

// StartError reports that a target could not listen.
type StartError struct{ Cause error }

// Error implements error.
func (e *StartError) Error() string { return fmt.Sprintf("stand-in target: %v", e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// Address returns the host:port at which the target listens.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Close stops the target at once and closes its connections, as when its VM fails.
func (t *Target) Close() {
	t.once.Do(func() { close(t.stop) })
	t.server.Close() //nolint:errcheck // nothing is left to lose
	<-t.served
}

// SetPlan replaces the function that selects the fault for each request; see
// Options.Plan.
func (t *Target) SetPlan(plan func(id string, r *http.Request) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan = plan
}

// SetFault injects the same fault into every request.
func (t *Target) SetFault(f Fault) {
	t.SetPlan(func(string, *http.Request) Fault { return f })
}

// Leave makes the target refuse every request with the header HeaderLeaving.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// Silence makes the connections that are open now discard all data in both
// directions while they stay open. New connections work.
func (t *Target) Silence() { t.listener.silence() }

// SendAll writes unsolicited raw bytes to every open connection.
func (t *Target) SendAll(raw []byte) { t.listener.sendAll(raw) }

// CloseIdle closes every open connection normally, without a reset.
func (t *Target) CloseIdle() { t.listener.closeAll() }

// Connections returns the number of open connections.
func (t *Target) Connections() int { return t.listener.counts().open }

// MaxConnections returns the highest number of connections that were open at once.
func (t *Target) MaxConnections() int { return t.listener.counts().maxOpen }

// Accepted returns the total number of accepted connections.
func (t *Target) Accepted() int { return t.listener.counts().accepted }

// Runs returns how many times the request with the id was run.
func (t *Target) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// AllRuns returns the number of runs of each request by its id.
func (t *Target) AllRuns() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.runs)
}

// MaxConcurrentRuns returns the highest number of requests that ran at once.
func (t *Target) MaxConcurrentRuns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxConcurrentRuns
}

// begin counts a run of the request and marks it as active.
func (t *Target) begin(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
	t.active++
	t.maxConcurrentRuns = max(t.maxConcurrentRuns, t.active)
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
}

func (t *Target) faultOf(id string, r *http.Request) (Fault, bool) {
	t.mu.Lock()
	plan, leaving := t.plan, t.leaving
	t.mu.Unlock()
	if plan == nil {
		return Fault{}, leaving
	}
	return plan(id, r), leaving
}
