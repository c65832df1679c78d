package traffic_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/guavarill/guavarill/adapter/httptarget"
	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/retry"
	"github.com/guavarill/guavarill/core/routing"
	"github.com/guavarill/guavarill/standin/target"
	"github.com/guavarill/guavarill/traffic"
)

const (
	patience = 20 * time.Second
	orders   = "orders"
)

// site is an engine and the stand-in instances of one service.
type site struct {
	engine    *traffic.Engine
	instances []*target.Target
	slots     int
}

func newSite(t *testing.T, instances, slots int, o traffic.Options, s traffic.Service) *site {
	t.Helper()
	client := httptarget.New(httptarget.Options{})
	t.Cleanup(client.Close)
	o.Target = client
	st := &site{engine: traffic.New(o), slots: slots}
	s.Name = orders
	if s.Timeout == 0 {
		s.Timeout = patience
	}
	st.engine.Configure([]traffic.Service{s})
	for range instances {
		instance, err := target.Start(target.Options{})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(instance.Close)
		st.instances = append(st.instances, instance)
	}
	st.listTargets()
	st.engine.SetServing(true, "")
	return st
}

func (s *site) listTargets() {
	list := make([]routing.Target, len(s.instances))
	for i, instance := range s.instances {
		list[i] = routing.Target{Address: instance.Address(), Slots: s.slots, Connections: s.slots + 1}
	}
	s.engine.SetTargets(orders, list)
}

func (s *site) setFault(f target.Fault) {
	for _, instance := range s.instances {
		instance.SetFault(f)
	}
}

func (s *site) runs(id string) int {
	n := 0
	for _, instance := range s.instances {
		n += instance.Runs(id)
	}
	return n
}

// checkSlots fails the test unless every slot was released exactly once.
func (s *site) checkSlots(t *testing.T) {
	t.Helper()
	for _, state := range s.engine.TargetStates(orders) {
		if state.InFlight != 0 {
			t.Errorf("%s: %d slots are still taken", state.Address, state.InFlight)
		}
	}
}

func newRequest(id string) *traffic.Request {
	return &traffic.Request{
		Service: orders, ID: id, Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: []byte("x"),
	}
}

func fateError(t *testing.T, err error) *fate.Error {
	t.Helper()
	var f *fate.Error
	if !errors.As(err, &f) {
		t.Fatalf("got %v, want a fate.Error", err)
	}
	return f
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	limit := time.After(patience)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func TestAnswered(t *testing.T) {
	s := newSite(t, 2, 2, traffic.Options{}, traffic.Service{})
	resp, err := s.engine.Do(context.Background(), newRequest(""))
	if err != nil {
		t.Fatal(err)
	}
	if resp.RequestID == "" || s.runs(resp.RequestID) != 1 || resp.Attempts != 1 {
		t.Errorf("id %q ran %d times in %d attempts", resp.RequestID, s.runs(resp.RequestID), resp.Attempts)
	}
	s.checkSlots(t)
}

func TestRefusedBeforeAnythingIsSent(t *testing.T) {
	s := newSite(t, 1, 1, traffic.Options{}, traffic.Service{})
	other := newRequest("r")
	other.Service = "other"
	_, err := s.engine.Do(context.Background(), other)
	if f := fateError(t, err); f.Fate != fate.NotRun || f.Reason != fate.ReasonUnknownService {
		t.Errorf("unknown service: got %v", f)
	}
	s.engine.SetServing(false, traffic.NoConfiguration)
	_, err = s.engine.Do(context.Background(), newRequest("r"))
	if f := fateError(t, err); f.Fate != fate.NotRun || f.Reason != fate.ReasonNotServing || f.RetryAfter == 0 {
		t.Errorf("not serving: got %v", f)
	}
	s.engine.SetServing(true, "")
	s.engine.SetTargets(orders, nil)
	_, err = s.engine.Do(context.Background(), newRequest("r"))
	if f := fateError(t, err); f.Fate != fate.NotRun || f.RetryAfter == 0 {
		t.Errorf("no targets: got %v", f)
	}
	if got := s.runs("r"); got != 0 {
		t.Errorf("ran %d times", got)
	}
}

// A request that a target did not start is sent to another one, even if it is
// not idempotent, and runs once.
func TestNotStartedIsSentToAnotherTarget(t *testing.T) {
	s := newSite(t, 2, 2, traffic.Options{}, traffic.Service{})
	s.instances[0].SetFault(target.Fault{Kind: target.Refuse})
	for i := range 20 {
		id := fmt.Sprintf("r%d", i)
		if _, err := s.engine.Do(context.Background(), newRequest(id)); err != nil {
			t.Fatal(err)
		}
		if got := s.runs(id); got != 1 {
			t.Errorf("%s ran %d times", id, got)
		}
	}
	s.checkSlots(t)
}

// Guards against a non-idempotent request that runs twice. The target runs it
// and fails before its response is complete, and the failure is wrongly treated
// as one that may be retried.
func TestUnknownIsNotSentAgain(t *testing.T) {
	for _, kind := range []target.Kind{
		target.DropUnread, target.ResetBeforeHead, target.ResetMidHead, target.ResetMidBody, target.ShortBody,
	} {
		s := newSite(t, 3, 2, traffic.Options{}, traffic.Service{})
		s.setFault(target.Fault{Kind: kind})
		_, err := s.engine.Do(context.Background(), newRequest("r"))
		if f := fateError(t, err); f.Fate != fate.Unknown || f.Attempts != 1 {
			t.Errorf("%s: got %v after %d attempts", kind, f, f.Attempts)
		}
		s.checkSlots(t)
	}
}

// Guards against the fate NotRun for a request that ran. The first target of an
// idempotent request runs it and fails, and the retry is refused. The fate must
// not be that of the last exchange alone.
func TestUnknownOutweighsLaterNotRun(t *testing.T) {
	s := newSite(t, 2, 2, traffic.Options{}, traffic.Service{})
	var mu sync.Mutex
	broke := false
	for _, instance := range s.instances {
		instance.SetPlan(func(string, *http.Request) target.Fault {
			mu.Lock()
			defer mu.Unlock()
			if broke {
				return target.Fault{Kind: target.Refuse}
			}
			broke = true
			return target.Fault{Kind: target.ResetBeforeHead}
		})
	}
	req := newRequest("r")
	req.Idempotent = true
	_, err := s.engine.Do(context.Background(), req)
	f := fateError(t, err)
	if f.Fate != fate.Unknown || f.Attempts < 2 || s.runs("r") != 1 {
		t.Errorf("got %v after %d attempts and %d runs", f, f.Attempts, s.runs("r"))
	}
}

// Guards against retries that multiply the load of the targets. Either half of
// the targets fail, or all of them fail half of the time, so that no single one
// is ejected. Retrying every failed exchange would multiply the load.
func TestRetriesStayWithinBudget(t *testing.T) {
	broken := target.Fault{Kind: target.ResetBeforeHead}
	tests := map[string]func(s *site){
		"half of the instances": func(s *site) {
			s.instances[0].SetFault(broken)
			s.instances[1].SetFault(broken)
		},
		"half of the exchanges": func(s *site) {
			var n atomic.Int64
			for _, instance := range s.instances {
				instance.SetPlan(func(string, *http.Request) target.Fault {
					if n.Add(1)%2 == 0 {
						return target.Fault{}
					}
					return broken
				})
			}
		},
	}
	for name, breakSome := range tests {
		t.Run(name, func(t *testing.T) { checkRetries(t, breakSome) })
	}
}

func checkRetries(t *testing.T, breakSome func(s *site)) {
	const requests = 500
	options := retry.Options{Ratio: 0.1, Burst: 5, MaxAttempts: 3}
	s := newSite(t, 4, 4, traffic.Options{}, traffic.Service{Retry: options})
	breakSome(s)
	exchanges, failed := 0, 0
	for i := range requests {
		req := newRequest(fmt.Sprintf("r%d", i))
		req.Idempotent = true
		resp, err := s.engine.Do(context.Background(), req)
		if err != nil {
			failed++
			exchanges += fateError(t, err).Attempts
			continue
		}
		exchanges += resp.Attempts
	}
	ran := 0
	for _, instance := range s.instances {
		for _, n := range instance.AllRuns() {
			ran += n
		}
	}
	most := int(requests*(1+options.Ratio) + options.Burst)
	if exchanges > most || ran > most {
		t.Errorf("%d exchanges and %d runs for %d requests, want at most %d", exchanges, ran, requests, most)
	}
	if exchanges <= requests {
		t.Errorf("%d exchanges for %d requests: nothing was retried", exchanges, requests)
	}
	t.Logf("%d requests, %d exchanges, %d failed", requests, exchanges, failed)
}

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
		wg.Go(func() { s.engine.Do(ctx, newRequest(fmt.Sprintf("r%d", i))) }) //nolint:errcheck // only in the way
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
	wg.Go(func() { s.engine.Do(ctx, newRequest("holder")) }) //nolint:errcheck // only in the way
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
		s.engine.Do(ctx, req) //nolint:errcheck // only in the way
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
	wg.Go(func() { s.engine.Do(ctx, newRequest("holder")) }) //nolint:errcheck // only in the way
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

// A target that reports that it is leaving gets no new requests, and OnLeaving
// is called.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	left := make(chan string, 1000)
	o := traffic.Options{OnLeaving: func(_, address string) { left <- address }}
	s := newSite(t, 2, 2, o, traffic.Service{})
	leaving, stays := s.instances[0], s.instances[1]
	leaving.Leave()
	stays.SetFault(target.Fault{Delay: time.Millisecond})
	// More callers than the other instance has slots, so that both are chosen.
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Go(func() {
			for i := 0; i < 1000 && len(left) == 0; i++ {
				s.engine.Do(context.Background(), newRequest(fmt.Sprintf("%d-%d", c, i))) //nolint:errcheck // what is heard counts
			}
		})
	}
	wg.Wait()
	if len(left) == 0 {
		t.Fatal("OnLeaving was not called")
	}
	if got := <-left; got != leaving.Address() {
		t.Errorf("OnLeaving was called for %s", got)
	}
	for _, state := range s.engine.TargetStates(orders) {
		if want := state.Address == leaving.Address(); state.Leaving != want {
			t.Errorf("%s: leaving is %t", state.Address, state.Leaving)
		}
	}
}

// Guards against an entry that refuses every request forever, for lack of
// capacity, although all instances are healthy. All instances are silent for a
// moment, and the balancer stops using each until a request has tried it. With
// no instance in use, no request is admitted that could try one.
func TestServesAgainAfterAllWereSilent(t *testing.T) {
	s := newSite(t, 2, 2, traffic.Options{}, traffic.Service{Retry: retry.Options{Burst: 1e6}})
	for i := range 20 {
		if _, err := s.engine.Do(context.Background(), newRequest(fmt.Sprintf("warm%d", i))); err != nil {
			t.Fatal(err)
		}
	}
	s.setFault(target.Fault{Kind: target.Hang})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			req := newRequest(fmt.Sprintf("silent%d", i))
			req.Idempotent = true
			req.Timeout = 300 * time.Millisecond
			s.engine.Do(context.Background(), req) //nolint:errcheck // only to be silent
		})
	}
	wg.Wait()
	s.setFault(target.Fault{})
	for _, state := range s.engine.TargetStates(orders) {
		t.Logf("%s is %s, %d in flight", state.Address, state.State, state.InFlight)
	}
	eventually(t, "a request is answered again", func() bool {
		_, err := s.engine.Do(context.Background(), newRequest(""))
		return err == nil
	})
}

// Drain returns only after the last request has its response.
func TestDrain(t *testing.T) {
	s := newSite(t, 1, 2, traffic.Options{}, traffic.Service{})
	arrived, answer := make(chan struct{}), make(chan struct{})
	s.instances[0].SetPlan(func(string, *http.Request) target.Fault {
		close(arrived)
		<-answer
		return target.Fault{}
	})
	result := make(chan error, 1)
	go func() {
		_, err := s.engine.Do(context.Background(), newRequest("r"))
		result <- err
	}()
	<-arrived
	over, cancel := context.WithCancel(context.Background())
	cancel()
	var left *traffic.DrainError
	if err := s.engine.Drain(over); !errors.As(err, &left) || left.InFlight != 1 {
		t.Errorf("drained with a request in flight: %v", err)
	}
	close(answer)
	if err := s.engine.Drain(context.Background()); err != nil {
		t.Error(err)
	}
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// fakeClaims returns the same outcome for every claim.
type fakeClaims struct {
	outcome  dedup.Outcome
	onClaim  func()
	mu       sync.Mutex
	released []string
}

func (c *fakeClaims) Claim(_ context.Context, r dedup.Request) (dedup.Request, dedup.Outcome) {
	if c.onClaim != nil {
		c.onClaim()
	}
	return r, c.outcome
}

func (c *fakeClaims) Release(r dedup.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = append(c.released, r.ID)
}

// A claim's outcome maps to a fate, which depends on whether the caller chose
// the request id or the engine generated it.
func TestClaimOutcomes(t *testing.T) {
	tests := []struct {
		outcome   dedup.Outcome
		reason    fate.Reason
		named     fate.Fate
		generated fate.Fate
	}{
		{dedup.RefusedHeld, fate.ReasonClaimHeld, fate.Unknown, fate.Unknown},
		{dedup.RefusedMismatch, fate.ReasonClaimMismatch, fate.Unknown, fate.Unknown},
		{dedup.RefusedUnsure, fate.ReasonClaimUnsure, fate.Unknown, fate.NotRun},
		{dedup.RefusedFull, fate.ReasonClaimFull, fate.NotRun, fate.NotRun},
	}
	for _, test := range tests {
		s := newSite(t, 1, 1, traffic.Options{Claims: &fakeClaims{outcome: test.outcome}}, traffic.Service{})
		for id, want := range map[string]fate.Fate{"r": test.named, "": test.generated} {
			_, err := s.engine.Do(context.Background(), newRequest(id))
			f := fateError(t, err)
			if f.Fate != want || f.Reason != test.reason || f.Attempts != 0 || s.runs(f.RequestID) != 0 {
				t.Errorf("%s, id %q: got %v", test.outcome, id, f)
			}
		}
		idempotent := newRequest("i")
		idempotent.Idempotent = true
		if _, err := s.engine.Do(context.Background(), idempotent); err != nil {
			t.Errorf("%s: an idempotent request needs no claim: %v", test.outcome, err)
		}
		s.checkSlots(t)
	}
}

// A claim is released only if its request was certainly not run.
func TestClaimIsReleasedOnNotRun(t *testing.T) {
	claims := &fakeClaims{outcome: dedup.Proceed}
	s := newSite(t, 1, 1, traffic.Options{Claims: claims}, traffic.Service{})
	if _, err := s.engine.Do(context.Background(), newRequest("answered")); err != nil {
		t.Fatal(err)
	}
	s.setFault(target.Fault{Kind: target.ResetBeforeHead})
	_, err := s.engine.Do(context.Background(), newRequest("unknown"))
	fateError(t, err)
	s.setFault(target.Fault{Kind: target.Refuse})
	_, err = s.engine.Do(context.Background(), newRequest("refused"))
	fateError(t, err)
	if len(claims.released) != 1 || claims.released[0] != "refused" {
		t.Errorf("released %q, want refused alone", claims.released)
	}
}

// stepClock is a clock that moves only by advance.
type stepClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *stepClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *stepClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// Guards against a request that runs twice because its entry was paused. The
// entry claims the id and is paused, the homes expire the claim, and a repeat
// runs through another entry. The first entry must check the clock again before
// it sends.
func TestPausedEntryDoesNotSend(t *testing.T) {
	clock := &stepClock{now: time.Now()}
	claims := &fakeClaims{outcome: dedup.Proceed, onClaim: func() { clock.advance(5 * time.Second) }}
	o := traffic.Options{Claims: claims, Clock: clock, ClaimMaxAge: 5 * time.Second}
	s := newSite(t, 1, 1, o, traffic.Service{})
	_, err := s.engine.Do(context.Background(), newRequest("r"))
	f := fateError(t, err)
	if f.Fate != fate.NotRun || f.Reason != fate.ReasonClaimExpired || s.runs("r") != 0 {
		t.Errorf("got %v after %d runs", f, s.runs("r"))
	}
	s.checkSlots(t)
}
