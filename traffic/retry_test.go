package traffic_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/core/retry"
	"github.com/guavarill/guavarill/standin/target"
	"github.com/guavarill/guavarill/traffic"
)

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
