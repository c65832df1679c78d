package traffic_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/retry"
	"github.com/guavarill/guavarill/standin/target"
	"github.com/guavarill/guavarill/traffic"
)

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
				s.engine.Do(context.Background(), newRequest(fmt.Sprintf("%d-%d", c, i))) //nolint:errcheck // only OnLeaving counts
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
			s.engine.Do(context.Background(), req) //nolint:errcheck // only meets a silent target
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
