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

// grant is what a waiter waits for: a slot, or the word that it gets none.
type grant struct {
	choice *routing.Choice
	err    *fate.Error
}

// waiter is a request in a service's queue. It is in the service's map of
// waiters until exactly one grant was put into its channel, or its request
// withdrew it.
type waiter struct {
	ticket admission.Ticket
	query  routing.Query
	grants chan grant
}

func (w *waiter) refuse(err *fate.Error) { w.grants <- grant{err: err} }

// enqueue asks for a slot. The waiter it returns must be passed to wait or
// withdraw.
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

// setSlotsLocked tells the queue what there is to hand out. While the balancer
// has taken every instance out of use, each is back only after a request has
// tried it. With no slots the queue would let none in that could, and the entry
// would refuse everything for good, however well the instances are.
func (s *service) setSlotsLocked() {
	free, total := s.balancer.Free(), s.balancer.Slots()
	if total == 0 && s.mayTry() {
		free, total = 1, 1
	}
	s.queue.SetSlots(free, total)
}

// tryLocked offers the next in line a slot even where none is known to be
// free. The balancer gives back the slots of exchanges that were given up, and
// has doubtful instances tried, when it is asked for a slot, and with none free
// it would not be asked. One would notice requests that wait for their deadline
// while nothing is in flight.
func (s *service) tryLocked(now time.Time) {
	if s.queue.Len() == 0 || s.balancer.Free() > 0 {
		return
	}
	s.queue.SetSlots(1, max(s.balancer.Slots(), 1))
	s.dispatchNextLocked(now)
}

// mayTry reports whether an instance is there that is not leaving.
func (s *service) mayTry() bool {
	return slices.ContainsFunc(s.balancer.Snapshot(), func(t routing.TargetState) bool {
		return !t.Leaving && t.Slots > 0
	})
}

// refuseLocked ends the wait of a ticket that has left the queue.
func (s *service) refuseLocked(id uint64, err *fate.Error) {
	w, ok := s.waiters[id]
	if !ok {
		return
	}
	delete(s.waiters, id)
	w.refuse(err)
}

// wait returns the waiter's slot, or why it gets none.
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

// withdraw ends a wait. A slot that was granted at the same moment is given
// back: it would otherwise be lost to the service for good, which one would
// notice by a target that never reaches its slots again.
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
		s.released(g.choice, routing.Result{Outcome: routing.Canceled})
	}
}

// dispatchLocked hands free slots to waiting requests.
func (s *service) dispatchLocked(now time.Time) {
	for s.queue.Len() > 0 {
		if !s.dispatchOneLocked(now) {
			break
		}
	}
	s.metrics.queued.Set(float64(s.queue.Len()))
	if s.queue.Len() > 0 && !s.ticking {
		s.ticking = true
		time.AfterFunc(dispatchInterval, s.tick)
	}
}

// dispatchOneLocked hands out one slot. A slot that is too slow or too far to
// be worth it for the next in line, who soon gets a better one, can still serve
// the one that has the longest to wait.
func (s *service) dispatchOneLocked(now time.Time) bool {
	s.setSlotsLocked()
	return s.dispatchNextLocked(now)
}

func (s *service) dispatchNextLocked(now time.Time) bool {
	next, ok, hopeless := s.queue.Next(now)
	for _, h := range hopeless {
		s.refuseLocked(h.ID, shedError(admission.ReasonDeadline, s.queue.RetryAfter(now, h)))
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

// grantLocked gives a ticket's waiter a slot if there is one worth taking with
// ahead others due before it. A target that the request has not tried comes
// first. Where all others are taken, one that it tried is better than a wait
// that would hold up those behind it.
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

// dispatch hands free slots to waiting requests.
func (s *service) dispatch(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchLocked(now)
}

func (s *service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ticking = false
	now := s.e.o.Clock.Now()
	s.tryLocked(now)
	s.dispatchLocked(now)
}

// waitersByAge returns the waiters, first come first.
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

// reasonOf tells a deadline from a caller that went away.
func reasonOf(ctx context.Context) fate.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return fate.ReasonDeadline
	}
	return fate.ReasonCallerGone
}
