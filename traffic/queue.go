package traffic

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/admission"
	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/routing"
)

// grant is the result of waiting in the queue: a slot, or the error why there
// is none.
type grant struct {
	choice *routing.Choice
	err    *fate.Error
}

// waiter is a request in a service's queue. It stays in the service's map of
// waiters until exactly one grant is sent on its channel or the request
// withdraws it.
type waiter struct {
	ticket admission.Ticket
	query  routing.Query
	grants chan grant
}

func (w *waiter) refuse(err *fate.Error) { w.grants <- grant{err: err} }

// enqueue adds a request for a slot to the queue. The returned waiter must be
// passed to wait or withdraw.
func (s *service) enqueue(t admission.Ticket, q routing.Query) (*waiter, *fate.Error) {
	w := &waiter{ticket: t, query: q, grants: make(chan grant, 1)}
	now := s.e.o.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removed {
		return nil, &fate.Error{Fate: fate.NotRun, Reason: fate.ReasonUnknownService}
	}
	if err := s.offerLocked(now, w); err != nil {
		return nil, err
	}
	s.dispatchLocked(now)
	return w, nil
}

func (s *service) offerLocked(now time.Time, w *waiter) *fate.Error {
	s.setSlotsLocked()
	v := s.queue.Offer(now, w.ticket)
	if v.Evicted != nil {
		s.refuseLocked(v.Evicted.ID, shedError(admission.ReasonEvicted, v.RetryAfter))
	}
	if v.Outcome == admission.Shed {
		return shedError(v.Reason, v.RetryAfter)
	}
	s.waiters[w.ticket.ID] = w
	return nil
}

// setSlotsLocked updates the queue's numbers of free and total slots. If the
// balancer has ejected every instance, each returns to use only after a request
// has tried it. With zero slots the queue would admit no such request, and the
// entry would refuse everything forever although the instances are healthy.
// One slot is therefore reported while any instance can be tried.
func (s *service) setSlotsLocked() {
	free, total := s.balancer.Free(), s.balancer.Slots()
	if total == 0 && s.hasTryableTarget() {
		free, total = 1, 1
	}
	s.queue.SetSlots(free, total)
}

// dispatchProbeLocked asks the balancer for a slot for the next queued request
// even if none is known to be free. The balancer reclaims the slots of
// abandoned exchanges, and probes suspect instances, only when it is asked for
// a slot. With no slot free it would never be asked, and requests would wait
// until their deadline while nothing is in flight.
func (s *service) dispatchProbeLocked(now time.Time) {
	if s.queue.Len() == 0 || s.balancer.Free() > 0 {
		return
	}
	s.queue.SetSlots(1, max(s.balancer.Slots(), 1))
	s.dispatchNextLocked(now)
}

// hasTryableTarget reports whether there is an instance that has slots and is
// not leaving.
func (s *service) hasTryableTarget() bool {
	return slices.ContainsFunc(s.balancer.Snapshot(), func(t routing.TargetState) bool {
		return !t.Leaving && t.Slots > 0
	})
}

// refuseLocked fails the waiter of a ticket that has left the queue.
func (s *service) refuseLocked(id uint64, err *fate.Error) {
	w, ok := s.waiters[id]
	if !ok {
		return
	}
	delete(s.waiters, id)
	w.refuse(err)
}

// wait waits for the waiter's slot. It returns an error if the request is
// refused or ctx ends first.
func (s *service) wait(ctx context.Context, w *waiter) (*routing.Choice, *fate.Error) {
	select {
	case g := <-w.grants:
		return g.choice, g.err
	default:
	}
	select {
	case g := <-w.grants:
		return g.choice, g.err
	case <-ctx.Done():
	}
	s.withdraw(w)
	return nil, &fate.Error{Fate: fate.NotRun, Reason: reasonOf(ctx), Cause: ctx.Err()}
}

// withdraw removes a waiter. A slot that was granted at the same moment is
// released; otherwise the service would lose it permanently, and the target
// would never again use all of its slots.
func (s *service) withdraw(w *waiter) {
	s.mu.Lock()
	if _, waiting := s.waiters[w.ticket.ID]; waiting {
		delete(s.waiters, w.ticket.ID)
		s.queue.Cancel(w.ticket.ID)
		s.metrics.queued.Set(float64(s.queue.Len()))
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	if g := <-w.grants; g.choice != nil {
		s.releaseSlot(g.choice, routing.Result{Outcome: routing.Canceled})
	}
}

// dispatchLocked assigns free slots to queued requests. If requests remain, it
// sets the timer for the next dispatch.
func (s *service) dispatchLocked(now time.Time) {
	for s.queue.Len() > 0 {
		if !s.dispatchOneLocked(now) {
			break
		}
	}
	s.metrics.queued.Set(float64(s.queue.Len()))
	if s.queue.Len() > 0 && !s.timerSet {
		s.timerSet = true
		time.AfterFunc(dispatchInterval, s.tick)
	}
}

// dispatchOneLocked assigns one slot and reports whether it did. A slow or
// distant slot may not be worth taking for the next request, which soon gets a
// better one, but may still serve the request with the longest wait ahead of it.
func (s *service) dispatchOneLocked(now time.Time) bool {
	s.setSlotsLocked()
	return s.dispatchNextLocked(now)
}

func (s *service) dispatchNextLocked(now time.Time) bool {
	next, ok, expired := s.queue.Next(now)
	for _, ticket := range expired {
		s.refuseLocked(ticket.ID, shedError(admission.ReasonDeadline, s.queue.RetryAfter(now, ticket)))
	}
	if !ok {
		return false
	}
	if s.grantLocked(now, next, 0) {
		return true
	}
	s.queue.Requeue(now, next)
	last, ok := s.queue.Last()
	if !ok || last.ID == next.ID || !s.grantLocked(now, last, s.queue.Ahead(last.Priority)-1) {
		return false
	}
	s.queue.Cancel(last.ID)
	return true
}

// grantLocked assigns a slot to a ticket's waiter and reports whether there was
// one worth taking, given that ahead other requests are served before it. It
// prefers a target that the request has not tried. If all of those are busy, it
// takes one that was tried, because waiting would delay the requests queued
// after this one.
func (s *service) grantLocked(now time.Time, t admission.Ticket, ahead int) bool {
	w := s.waiters[t.ID]
	q := w.query
	q.Ahead = ahead
	choice, ok := s.balancer.Pick(now, s.e.o.Random(), q)
	if !ok && len(q.Avoid) > 0 {
		q.Avoid = nil
		choice, ok = s.balancer.Pick(now, s.e.o.Random(), q)
	}
	if !ok {
		return false
	}
	delete(s.waiters, t.ID)
	w.grants <- grant{choice: choice}
	return true
}

// dispatch is dispatchLocked for callers that do not hold the lock.
func (s *service) dispatch(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchLocked(now)
}

func (s *service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timerSet = false
	now := s.e.o.Clock.Now()
	s.dispatchProbeLocked(now)
	s.dispatchLocked(now)
}

// waitersByAge returns the waiters, oldest ticket first.
func (s *service) waitersByAge() []*waiter {
	all := make([]*waiter, 0, len(s.waiters))
	for _, w := range s.waiters {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *waiter) int { return cmp.Compare(a.ticket.ID, b.ticket.ID) })
	return all
}

var shedReasons = map[admission.ShedReason]fate.Reason{
	admission.ReasonFull:       fate.ReasonQueueFull,
	admission.ReasonDeadline:   fate.ReasonDeadlineTooNear,
	admission.ReasonOverload:   fate.ReasonOverload,
	admission.ReasonNoCapacity: fate.ReasonNoCapacity,
	admission.ReasonEvicted:    fate.ReasonPreempted,
}

func shedError(r admission.ShedReason, retryAfter time.Duration) *fate.Error {
	reason, ok := shedReasons[r]
	if !ok {
		reason = fate.ReasonOverload
	}
	return &fate.Error{Fate: fate.NotRun, Reason: reason, RetryAfter: retryAfter}
}

// reasonOf returns ReasonDeadline if the deadline of ctx passed, and
// ReasonCallerGone if ctx was canceled.
func reasonOf(ctx context.Context) fate.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return fate.ReasonDeadline
	}
	return fate.ReasonCallerGone
}
