package traffic

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavarill/guavarill/core/admission"
	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/retry"
	"github.com/guavarill/guavarill/core/routing"
)

// dispatchInterval is the interval at which a non-empty queue is dispatched
// again. A target that becomes usable merely because time has passed, for
// example after a probation, raises no event that would start queued requests.
const dispatchInterval = 10 * time.Millisecond

// latencyWeight is the weight of a new latency in the moving average.
const latencyWeight = 0.1

// service holds the state of one declared service at this entry.
type service struct {
	e        *Engine
	name     string
	balancer *routing.Balancer
	metrics  *serviceMetrics
	inFlight atomic.Int64
	settings atomic.Pointer[Service]

	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[uint64]*waiter
	budget  *retry.Budget
	latency time.Duration
	removed bool
	// timerSet is whether the timer for the next dispatch of a non-empty queue
	// is set.
	timerSet bool

	// addresses holds the addresses of the targets last set. Only the control
	// goroutine uses it.
	addresses map[string]struct{}
}

func newService(e *Engine, declared Service) *service {
	s := &service{
		e:        e,
		name:     declared.Name,
		balancer: routing.New(e.o.Zone, e.o.Routing),
		metrics:  e.metrics.of(declared.Name),
		queue:    newQueue(declared),
		waiters:  make(map[uint64]*waiter),
		budget:   retry.NewBudget(declared.Retry),
	}
	s.settings.Store(&declared)
	return s
}

func newQueue(declared Service) *admission.Queue {
	return admission.New(admission.Options{MaxQueued: declared.MaxQueue})
}

// configure applies changed settings. Queued requests keep their place as far
// as the new limit of the queue allows.
func (s *service) configure(declared Service) {
	old := s.settings.Swap(&declared)
	if *old == declared {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old.Retry != declared.Retry {
		s.budget = retry.NewBudget(declared.Retry)
	}
	if old.MaxQueue != declared.MaxQueue {
		s.refillLocked(declared)
	}
}

func (s *service) refillLocked(declared Service) {
	now := s.e.o.Clock.Now()
	s.queue = newQueue(declared)
	for _, w := range s.waitersByAge() {
		delete(s.waiters, w.ticket.ID)
		if err := s.offerLocked(now, w); err != nil {
			w.refuse(err)
		}
	}
	s.dispatchLocked(now)
}

// remove closes the service and fails its queued requests. Like setTargets, it
// is called only by the control goroutine.
func (s *service) remove() {
	for address := range s.addresses {
		s.e.o.Target.Limit(address, 0)
	}
	s.addresses = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = true
	for _, w := range s.waitersByAge() {
		s.queue.Cancel(w.ticket.ID)
		delete(s.waiters, w.ticket.ID)
		w.refuse(&fate.Error{Fate: fate.NotRun, Reason: fate.ReasonUnknownService})
	}
}

// setTargets replaces the targets. It sets the connection limits of new targets
// before they can be chosen, and closes those of removed targets afterwards.
func (s *service) setTargets(targets []routing.Target) {
	next := make(map[string]struct{}, len(targets))
	for _, t := range targets {
		next[t.Address] = struct{}{}
		s.e.o.Target.Limit(t.Address, connectionsOf(t))
	}
	s.updateTargets(targets)
	for address := range s.addresses {
		if _, ok := next[address]; !ok {
			s.e.o.Target.Limit(address, 0)
		}
	}
	s.addresses = next
}

// connectionsOf returns the target's connection limit, or one connection per
// slot if none is set.
func connectionsOf(t routing.Target) int {
	if t.Connections > 0 {
		return t.Connections
	}
	return t.Slots
}

func (s *service) updateTargets(targets []routing.Target) {
	now := s.e.o.Clock.Now()
	s.balancer.Update(now, targets)
	s.dispatch(now)
}

func (s *service) queuedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

// idle reports whether a request would get a slot without waiting.
func (s *service) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len() == 0 && s.balancer.Free() > 0
}

// depositRetryBudget credits the retry budget for a first attempt.
func (s *service) depositRetryBudget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Deposit()
}

// decide returns the retry decision for a failed exchange. A retry is charged
// to the budget.
func (s *service) decide(now time.Time, f retry.Failure) retry.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Expected = s.latency
	v := s.budget.Decide(now, f)
	s.metrics.countRetryDecision(v)
	return v
}

// wouldRetry reports whether the request would be sent again if its exchange
// were abandoned now. It does not charge the budget.
func (s *service) wouldRetry(now time.Time, f retry.Failure) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Expected = s.latency
	return s.budget.Check(now, f) == retry.Send
}

// releaseSlot returns a slot to the balancer and dispatches queued requests.
func (s *service) releaseSlot(c *routing.Choice, r routing.Result) {
	now := s.e.o.Clock.Now()
	c.Done(now, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Outcome == routing.OK {
		s.observeLocked(now, r.Latency)
	}
	s.dispatchLocked(now)
}

func (s *service) observeLocked(now time.Time, latency time.Duration) {
	s.queue.Observe(now, latency)
	if s.latency == 0 {
		s.latency = latency
		return
	}
	s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
}

// retryAfter returns the retry delay to report to the caller of a failed
// request.
func (s *service) retryAfter(t admission.Ticket) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.RetryAfter(s.e.o.Clock.Now(), t)
}
