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

// Headers that the stand-in reads and writes; they are part of its published
// protocol with entries.
const (
	HeaderRequestID  = "Guavarill-Request-Id"
	HeaderNotStarted = "Guavarill-Not-Started"
	HeaderLeaving    = "Guavarill-Leaving"
)

// Options configures a Target.
type Options struct {
	// Name is repeated in each answer.
	Name string
	// Plan chooses the fault of a request; nil plans none. It is called from
	// many goroutines.
	Plan func(id string, r *http.Request) Fault
	// Work is how long a run takes without a fault.
	Work time.Duration
}

// Target is one instance.
type Target struct {
	o        Options
	listener *gateListener
	server   *http.Server
	served   chan struct{}
	stop     chan struct{}
	once     sync.Once

	mu       sync.Mutex
	plan     func(id string, r *http.Request) Fault
	runs     map[string]int
	active   int
	mostRuns int
	leaving  bool
}

// Start listens on 127.0.0.1 and serves.
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
		_ = t.server.Serve(t.listener) // always ends with the error of Close
	}()
	return t, nil
}

// StartError is a stand-in that could not listen.
type StartError struct{ Cause error }

// Error implements error.
func (e *StartError) Error() string { return fmt.Sprintf("stand-in target: %v", e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// Address returns host:port.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Close ends the instance at once, as a VM that dies.
func (t *Target) Close() {
	t.once.Do(func() { close(t.stop) })
	t.server.Close() //nolint:errcheck // nothing is left to lose
	<-t.served
}

// SetPlan replaces the plan of faults.
func (t *Target) SetPlan(plan func(id string, r *http.Request) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan = plan
}

// SetFault gives every request the same fault.
func (t *Target) SetFault(f Fault) {
	t.SetPlan(func(string, *http.Request) Fault { return f })
}

// Leave has the instance refuse every request and say that it is leaving.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// Silence has the connections that are open now say and take nothing more,
// while they stay open; new ones work.
func (t *Target) Silence() { t.listener.silence() }

// SendAll writes raw bytes to every open connection, unasked.
func (t *Target) SendAll(raw []byte) { t.listener.sendAll(raw) }

// CloseIdle ends every open connection in an orderly way.
func (t *Target) CloseIdle() { t.listener.closeAll() }

// Connections returns how many connections are open, MostConnections the most
// that ever were, and Accepted how many were accepted in all.
func (t *Target) Connections() int { return t.listener.counts().open }

// MostConnections returns the most connections that were open at once.
func (t *Target) MostConnections() int { return t.listener.counts().most }

// Accepted returns how many connections were accepted in all.
func (t *Target) Accepted() int { return t.listener.counts().accepted }

// Runs returns how often the request was run.
func (t *Target) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// AllRuns returns how often each request was run.
func (t *Target) AllRuns() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.runs)
}

// MostRuns returns the most requests that ran at once.
func (t *Target) MostRuns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mostRuns
}

// begin counts a run.
func (t *Target) begin(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
	t.active++
	t.mostRuns = max(t.mostRuns, t.active)
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
