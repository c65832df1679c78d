package traffic_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/traffic"
)

// homeSet holds the homes of all entries in one process. A home may be
// unreachable, or delay its verdict until a channel is closed.
type homeSet struct {
	mu          sync.Mutex
	homes       map[model.DaemonID]*dedup.ClaimStore
	unreachable map[model.DaemonID]bool
	// hold delays the verdict of a home until its channel is closed.
	hold map[model.DaemonID]chan struct{}
	// granted counts the claims that were granted.
	granted int
}

// unreachableError reports that a home cannot be reached.
type unreachableError struct{ home model.DaemonID }

func (e *unreachableError) Error() string { return string(e.home) + " is unreachable" }

func newHomeSet(o dedup.Options, entries ...model.DaemonID) *homeSet {
	h := &homeSet{
		homes:       make(map[model.DaemonID]*dedup.ClaimStore),
		unreachable: make(map[model.DaemonID]bool),
		hold:        make(map[model.DaemonID]chan struct{}),
	}
	long := time.Now().Add(-o.WithDefaults().Retention)
	for _, e := range entries {
		h.homes[e] = dedup.NewClaimStore(long, o)
	}
	return h
}

// makeUnreachable makes a home unreachable.
func (h *homeSet) makeUnreachable(home model.DaemonID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachable[home] = true
}

func (h *homeSet) Claim(ctx context.Context, home model.DaemonID, r dedup.Request) (dedup.Verdict, error) {
	h.mu.Lock()
	hold := h.hold[home]
	h.mu.Unlock()
	if hold != nil {
		<-hold
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unreachable[home] {
		return dedup.Unsure, &unreachableError{home: home}
	}
	v := h.homes[home].Claim(time.Now(), r)
	if v == dedup.Granted {
		h.granted++
	}
	return v, nil
}

func (h *homeSet) Release(_ context.Context, home model.DaemonID, r dedup.Request) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.homes[home].Release(time.Now(), r)
	return nil
}

func (h *homeSet) grants() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.granted
}

func (h *homeSet) records() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, home := range h.homes {
		n += home.Len()
	}
	return n
}

func (h *homeSet) claims(self model.DaemonID, booted time.Time, o dedup.Options) *traffic.QuorumClaims {
	var members []dedup.Member
	for id := range h.homes {
		members = append(members, dedup.Member{ID: id})
	}
	return traffic.NewQuorumClaims(traffic.ClaimOptions{
		Self: self, Incarnation: 1, Booted: booted, Homes: h, Dedup: o, Timeout: patience,
		Members: func() ([]dedup.Member, bool) { return members, true },
	})
}

var longAgo = time.Unix(1_700_000_000, 0)

func claimRequest(id string) dedup.Request {
	return dedup.Request{Service: orders, ID: id, Payload: 1}
}

func TestClaimAcrossEntries(t *testing.T) {
	h := newHomeSet(dedup.Options{}, "a", "b", "c", "d")
	first, second := h.claims("a", longAgo, dedup.Options{}), h.claims("b", longAgo, dedup.Options{})
	ctx := context.Background()
	claim, outcome := first.Claim(ctx, claimRequest("r"))
	if outcome != dedup.Proceed {
		t.Fatalf("first: %s", outcome)
	}
	eventually(t, "all homes record the id", func() bool { return h.records() == dedup.NumHomes })
	for _, c := range []*traffic.QuorumClaims{first, second} {
		if _, outcome := c.Claim(ctx, claimRequest("r")); outcome != dedup.RefusedHeld {
			t.Errorf("repeat: %s", outcome)
		}
	}
	first.Release(claim)
	eventually(t, "the id is released", func() bool { return h.records() == 0 })
	if _, outcome := second.Claim(ctx, claimRequest("r")); outcome != dedup.Proceed {
		t.Errorf("after the release: %s", outcome)
	}
}

func TestClaimNeedsMajority(t *testing.T) {
	h := newHomeSet(dedup.Options{}, "a", "b", "c")
	c := h.claims("a", longAgo, dedup.Options{})
	h.makeUnreachable("b")
	if _, outcome := c.Claim(context.Background(), claimRequest("one-away")); outcome != dedup.Proceed {
		t.Errorf("one home unreachable: %s", outcome)
	}
	// The claim continues at homes that have not answered when it is decided.
	eventually(t, "both reachable homes grant the claim", func() bool { return h.grants() == 2 })
	recorded := h.records()
	h.makeUnreachable("c")
	if _, outcome := c.Claim(context.Background(), claimRequest("two-away")); outcome != dedup.RefusedUnsure {
		t.Errorf("two homes unreachable: %s", outcome)
	}
	eventually(t, "the refused claim is released", func() bool { return h.records() == recorded })
}

// Guards against an id that stays claimed without a claimant until its record
// expires. The caller leaves before two of the homes have answered, and they
// grant the claim later. Grants that arrive after the claim was abandoned must
// be released.
func TestLateGrantIsReleased(t *testing.T) {
	h := newHomeSet(dedup.Options{}, "a", "b", "c")
	c := h.claims("a", longAgo, dedup.Options{})
	hold := make(chan struct{})
	h.hold["b"], h.hold["c"] = hold, hold
	gone, leave := context.WithCancel(context.Background())
	leave()
	if _, outcome := c.Claim(gone, claimRequest("r")); outcome != dedup.RefusedUnsure {
		t.Fatalf("got %s", outcome)
	}
	close(hold)
	eventually(t, "all homes grant the claim and release it", func() bool {
		return h.grants() == dedup.NumHomes && h.records() == 0
	})
}

// An entry makes no claim while its view of the members may still differ from
// that of the others.
func TestRecentlyBootedEntryClaimsNothing(t *testing.T) {
	h := newHomeSet(dedup.Options{}, "a", "b", "c")
	c := h.claims("a", time.Now(), dedup.Options{MembershipDelay: time.Hour})
	if _, outcome := c.Claim(context.Background(), claimRequest("r")); outcome != dedup.RefusedUnsure {
		t.Errorf("got %s", outcome)
	}
	if got := h.records(); got != 0 {
		t.Errorf("%d records, want none", got)
	}
}
