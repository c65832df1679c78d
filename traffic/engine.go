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

// notServingRetryAfter is the retry delay returned to callers while the entry
// takes no requests. The load balancer in front of the entries needs about
// this long to detect it.
const notServingRetryAfter = time.Second

// NotServingReason says why an entry takes no requests.
type NotServingReason string

// The reasons why an entry takes no requests. A new engine is Starting until
// the first call of SetServing.
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

// Engine forwards requests to targets. It is safe for concurrent use, but
// Configure, SetTargets and SetServing must be called from one control
// goroutine.
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

// New returns an engine that has no services and takes no requests yet.
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

// Configure replaces the set of services. Services that remain keep their
// queue and targets. Requests queued for a removed service fail with the fate
// NotRun.
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
			e.metrics.deleteService(name)
		}
	}
}

// SetTargets replaces the targets of a service. It does nothing if the service
// is not configured.
func (e *Engine) SetTargets(name string, targets []routing.Target) {
	s, ok := (*e.services.Load())[name]
	if !ok {
		return
	}
	s.setTargets(targets)
}

// SetServing sets whether the entry takes new requests. While it takes none,
// each request fails with the fate NotRun and the reason.
func (e *Engine) SetServing(serving bool, reason NotServingReason) {
	if serving {
		e.refusal.Store(nil)
		return
	}
	e.refusal.Store(&NotServingError{Reason: reason})
}

// Serving returns nil while the entry takes requests, and a *NotServingError
// otherwise.
func (e *Engine) Serving() error {
	if refusal := e.refusal.Load(); refusal != nil {
		return refusal
	}
	return nil
}

// MarkLeaving stops sending new requests to the target at address, in every
// service.
func (e *Engine) MarkLeaving(address string) {
	for _, s := range *e.services.Load() {
		s.balancer.MarkLeaving(address)
	}
}

// Demand is the number of requests of a service at this entry: all that are
// being handled (InFlight), and those of them that wait for a slot (Queued).
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

// TargetStates returns the balancer's state of each target of the service,
// sorted by address.
func (e *Engine) TargetStates(name string) []routing.TargetState {
	s, ok := (*e.services.Load())[name]
	if !ok {
		return nil
	}
	return s.balancer.Snapshot()
}

// Do forwards a request and returns the response. A returned error is always a
// *fate.Error, which says whether the request may have been run.
func (e *Engine) Do(ctx context.Context, req *Request) (*Response, error) {
	e.inFlight.Add(1)
	defer e.finish()
	req, generated := ensureID(req)
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

// Drain waits until no request is in flight. It does not reject new requests.
// It returns a *DrainError if ctx ends first.
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

// DrainError reports that Drain ended while requests were still in flight.
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

// priorityOf limits a priority to the range of declared priorities.
func priorityOf(p model.Priority) model.Priority {
	return min(max(p, model.PriorityLow), model.PriorityUrgent)
}
