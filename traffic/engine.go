package traffic

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/routing"
)

// notServingRetryAfter is what callers of an entry that serves nobody are
// told: the balancer in front needs about as long to notice.
const notServingRetryAfter = time.Second

// NotServingReason says why an entry takes no requests.
type NotServingReason string

// The reasons. A new engine is Starting until SetServing says otherwise.
const (
	Starting        NotServingReason = "starting"
	NoConfiguration NotServingReason = "no accepted configuration known"
	Stopping        NotServingReason = "stopping"
)

// NotServingError is the cause of a refusal by an entry that takes no
// requests.
type NotServingError struct{ Reason NotServingReason }

// Error implements error.
func (e *NotServingError) Error() string { return fmt.Sprintf("entry takes no requests: %s", e.Reason) }

// Engine carries requests to targets. It is safe for concurrent use; Configure,
// SetTargets and SetServing are meant for one control goroutine.
type Engine struct {
	o       Options
	metrics *metrics

	services atomic.Pointer[map[string]*service]
	refusal  atomic.Pointer[NotServingError]
	ids      atomic.Uint64

	inFlight atomic.Int64
	draining atomic.Bool
	drainMu  sync.Mutex
	drained  chan struct{}
}

// New returns an engine that knows no service and takes no requests yet.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		o:       o,
		metrics: newMetrics(o.Registerer),
		drained: make(chan struct{}, 1),
	}
	e.services.Store(&map[string]*service{})
	e.SetServing(false, Starting)
	return e
}

// Configure replaces the services. Those that stay keep their queue and
// targets; requests that wait for one that is gone are told not run.
func (e *Engine) Configure(services []Service) {
	old := *e.services.Load()
	next := make(map[string]*service, len(services))
	for _, declared := range services {
		declared = declared.withDefaults()
		s, ok := old[declared.Name]
		if !ok {
			s = newService(e, declared)
		}
		s.configure(declared)
		next[declared.Name] = s
	}
	e.services.Store(&next)
	for name, s := range old {
		if _, ok := next[name]; !ok {
			s.remove()
			e.metrics.removed(name)
		}
	}
}

// SetTargets replaces the targets of a service. A service that is not
// configured is left out.
func (e *Engine) SetTargets(name string, targets []routing.Target) {
	s, ok := (*e.services.Load())[name]
	if !ok {
		return
	}
	s.setTargets(targets)
}

// SetServing opens or closes the entry to new requests. Closed, it answers
// each with not run and the reason.
func (e *Engine) SetServing(serving bool, reason NotServingReason) {
	if serving {
		e.refusal.Store(nil)
		return
	}
	e.refusal.Store(&NotServingError{Reason: reason})
}

// Serving returns nil while the entry takes requests, else why not.
func (e *Engine) Serving() error {
	if refusal := e.refusal.Load(); refusal != nil {
		return refusal
	}
	return nil
}

// MarkLeaving sends nothing new to address, of whichever service.
func (e *Engine) MarkLeaving(address string) {
	for _, s := range *e.services.Load() {
		s.balancer.MarkLeaving(address)
	}
}

// Demand is what a service has to do on this entry.
type Demand struct {
	Service          string
	InFlight, Queued int
}

// Demand returns the demand of the service, for the division of slots among
// entries.
func (e *Engine) Demand(name string) Demand {
	s, ok := (*e.services.Load())[name]
	if !ok {
		return Demand{Service: name}
	}
	return Demand{Service: name, InFlight: int(s.inFlight.Load()), Queued: s.queuedCount()}
}

// TargetStates returns what is believed of each target of the service, sorted
// by address.
func (e *Engine) TargetStates(name string) []routing.TargetState {
	s, ok := (*e.services.Load())[name]
	if !ok {
		return nil
	}
	return s.balancer.Snapshot()
}

// Do carries a request to its fate. An error is a *fate.Error.
func (e *Engine) Do(ctx context.Context, req *Request) (*Response, error) {
	e.inFlight.Add(1)
	defer e.finish()
	req, generated := withID(req)
	if refusal := e.refusal.Load(); refusal != nil {
		return nil, &fate.Error{
			Fate: fate.NotRun, Reason: fate.ReasonNotServing, Service: req.Service, RequestID: req.ID,
			RetryAfter: notServingRetryAfter, Cause: refusal,
		}
	}
	s, ok := (*e.services.Load())[req.Service]
	if !ok {
		return nil, &fate.Error{
			Fate: fate.NotRun, Reason: fate.ReasonUnknownService, Service: req.Service, RequestID: req.ID,
		}
	}
	resp, err := s.do(ctx, req, generated)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// Drain waits until no request is in flight. It does not keep new ones out.
func (e *Engine) Drain(ctx context.Context) error {
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	e.draining.Store(true)
	defer e.draining.Store(false)
	for e.inFlight.Load() > 0 {
		select {
		case <-e.drained:
		case <-ctx.Done():
			return &DrainError{InFlight: int(e.inFlight.Load()), Cause: ctx.Err()}
		}
	}
	return nil
}

// DrainError is a Drain that ended while requests were in flight.
type DrainError struct {
	InFlight int
	Cause    error
}

// Error implements error.
func (e *DrainError) Error() string {
	return fmt.Sprintf("%d requests still in flight: %v", e.InFlight, e.Cause)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Cause }

func (e *Engine) finish() {
	if e.inFlight.Add(-1) > 0 || !e.draining.Load() {
		return
	}
	select {
	case e.drained <- struct{}{}:
	default:
	}
}

// priorityOf keeps a priority within the declared ones.
func priorityOf(p model.Priority) model.Priority {
	return min(max(p, model.PriorityLow), model.PriorityUrgent)
}
