package traffic_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/standin/target"
	"github.com/guavarill/guavarill/traffic"
)

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
