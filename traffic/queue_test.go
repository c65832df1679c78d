package traffic_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/standin/target"
	"github.com/guavarill/guavarill/traffic"
)

// A queued request fails as soon as its caller leaves or its deadline passes,
// and its place in the queue is free again.
func TestWaitEndsWithCallerAndDeadline(t *testing.T) {
	s := newSite(t, 1, 1, traffic.Options{}, traffic.Service{})
	s.setFault(target.Fault{Kind: target.Hang})
	ctx, release := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		_, err := s.engine.Do(ctx, newRequest("holder"))
		if f := fateError(t, err); f.Fate != fate.Unknown || f.Reason != fate.ReasonCallerGone {
			t.Errorf("holder: got %v", f)
		}
	})
	eventually(t, "the slot is taken", func() bool { return s.instances[0].Runs("holder") == 1 })

	gone, leave := context.WithCancel(context.Background())
	wg.Go(func() {
		eventually(t, "the request waits", func() bool { return s.engine.Demand(orders).Queued == 1 })
		leave()
	})
	_, err := s.engine.Do(gone, newRequest("gone"))
	if f := fateError(t, err); f.Fate != fate.NotRun || f.Reason != fate.ReasonCallerGone {
		t.Errorf("caller gone: got %v", f)
	}
	late := newRequest("late")
	late.Timeout = 100 * time.Millisecond
	_, err = s.engine.Do(context.Background(), late)
	if f := fateError(t, err); f.Fate != fate.NotRun || f.RetryAfter == 0 {
		t.Errorf("deadline: got %v", f)
	}
	if got := s.engine.Demand(orders).Queued; got != 0 {
		t.Errorf("%d requests are still queued", got)
	}
	release()
	wg.Wait()
	s.checkSlots(t)
	if s.runs("gone")+s.runs("late") != 0 {
		t.Error("a request with the fate NotRun has run")
	}
}

// A full queue sheds new requests at once.
func TestFullQueueSheds(t *testing.T) {
	s := newSite(t, 1, 1, traffic.Options{}, traffic.Service{MaxQueue: 2})
	s.setFault(target.Fault{Kind: target.Hang})
	ctx, release := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() { s.engine.Do(ctx, newRequest(fmt.Sprintf("r%d", i))) }) //nolint:errcheck // only occupies the slot or the queue
		eventually(t, "the request has the slot or is queued", func() bool {
			d := s.engine.Demand(orders)
			return d.InFlight == i+1 && d.Queued == i
		})
	}
	_, err := s.engine.Do(context.Background(), newRequest("shed"))
	f := fateError(t, err)
	if f.Fate != fate.NotRun || f.Reason != fate.ReasonQueueFull || f.RetryAfter == 0 {
		t.Errorf("got %v", f)
	}
	release()
	wg.Wait()
	s.checkSlots(t)
}

// A request of higher priority preempts a queued one in a full queue, and the
// preempted request fails at once.
func TestUrgentPreemptsQueued(t *testing.T) {
	s := newSite(t, 1, 1, traffic.Options{}, traffic.Service{MaxQueue: 1})
	s.setFault(target.Fault{Kind: target.Hang})
	ctx, release := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { s.engine.Do(ctx, newRequest("holder")) }) //nolint:errcheck // only occupies the slot or the queue
	eventually(t, "the slot is taken", func() bool { return s.instances[0].Runs("holder") == 1 })
	preempted := make(chan *fate.Error, 1)
	wg.Go(func() {
		req := newRequest("low")
		req.Priority = model.PriorityLow
		_, err := s.engine.Do(context.Background(), req)
		preempted <- fateError(t, err)
	})
	eventually(t, "the request waits", func() bool { return s.engine.Demand(orders).Queued == 1 })
	wg.Go(func() {
		req := newRequest("urgent")
		req.Priority = model.PriorityUrgent
		s.engine.Do(ctx, req) //nolint:errcheck // only occupies the slot or the queue
	})
	select {
	case f := <-preempted:
		if f.Fate != fate.NotRun || f.Reason != fate.ReasonPreempted || f.RetryAfter == 0 {
			t.Errorf("got %v", f)
		}
	case <-time.After(patience / 2):
		t.Error("the preempted request is still queued")
	}
	release()
	wg.Wait()
}

// Queued requests of a service fail when the service is no longer declared.
func TestRemovedServiceEndsWaits(t *testing.T) {
	s := newSite(t, 1, 1, traffic.Options{}, traffic.Service{})
	s.setFault(target.Fault{Kind: target.Hang})
	ctx, release := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { s.engine.Do(ctx, newRequest("holder")) }) //nolint:errcheck // only occupies the slot or the queue
	eventually(t, "the slot is taken", func() bool { return s.instances[0].Runs("holder") == 1 })
	wg.Go(func() {
		_, err := s.engine.Do(context.Background(), newRequest("waits"))
		if f := fateError(t, err); f.Fate != fate.NotRun || f.Reason != fate.ReasonUnknownService {
			t.Errorf("got %v", f)
		}
	})
	eventually(t, "the request waits", func() bool { return s.engine.Demand(orders).Queued == 1 })
	s.engine.Configure(nil)
	release()
	wg.Wait()
}
