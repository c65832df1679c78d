package dedup_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/model"
)

var (
	options = dedup.Options{
		Retention:       10 * time.Minute,
		MembershipDelay: 5 * time.Second,
		MaxClockSkew:    2 * time.Second,
		MaxRecords:      4,
	}
	start = time.Unix(1_800_000_000, 0)
)

func request(id, claimant string) dedup.Request {
	return dedup.Request{Service: "s", ID: id, Claimant: claimant, Incarnation: 1, Payload: 7}
}

// oldClaims returns a store that at start has been running for Retention, so
// that it knows every claim that matters.
func oldClaims() *dedup.ClaimStore {
	return dedup.NewClaimStore(start.Add(-options.Retention), options)
}

func checkClaim(t *testing.T, h *dedup.ClaimStore, now time.Time, r dedup.Request, want dedup.Verdict) {
	t.Helper()
	if got := h.Claim(now, r); got != want {
		t.Errorf("%s for %s: got %s, want %s", r.ID, r.Claimant, got, want)
	}
}

func TestClaimIsHeldForItsClaimant(t *testing.T) {
	h := oldClaims()
	checkClaim(t, h, start, request("r", "a/1"), dedup.Granted)
	checkClaim(t, h, start, request("r", "a/1"), dedup.Granted)
	checkClaim(t, h, start, request("r", "a/2"), dedup.Held)
	checkClaim(t, h, start, request("r", "b/1"), dedup.Held)
	other := request("r", "b/1")
	other.Payload++
	checkClaim(t, h, start, other, dedup.Mismatch)
	other = request("r", "b/1")
	other.Service = "other"
	checkClaim(t, h, start, other, dedup.Granted)
	reborn := request("r", "a/1")
	reborn.Incarnation++
	checkClaim(t, h, start, reborn, dedup.Held)
}

func TestReleaseAffectsOnlyItsOwnClaim(t *testing.T) {
	h := oldClaims()
	checkClaim(t, h, start, request("r", "a/1"), dedup.Granted)
	h.Release(start, request("r", "b/1"))
	checkClaim(t, h, start, request("r", "b/1"), dedup.Held)
	h.Release(start, request("r", "a/1"))
	checkClaim(t, h, start, request("r", "b/1"), dedup.Granted)
	// A delayed duplicate of the first claimant's release arrives.
	h.Release(start, request("r", "a/1"))
	checkClaim(t, h, start, request("r", "c/1"), dedup.Held)
}

func TestRecordsEndWithRetention(t *testing.T) {
	h := oldClaims()
	checkClaim(t, h, start, request("r", "a/1"), dedup.Granted)
	checkClaim(t, h, start.Add(options.Retention-1), request("r", "b/1"), dedup.Held)
	checkClaim(t, h, start.Add(options.Retention), request("r", "b/1"), dedup.Granted)
}

// Neither the records nor the queue by which they expire may grow with the rate
// of requests without a bound.
func TestRecordIsBounded(t *testing.T) {
	h := oldClaims()
	for i := range options.MaxRecords {
		checkClaim(t, h, start, request(fmt.Sprint(i), "a/1"), dedup.Granted)
	}
	checkClaim(t, h, start, request("more", "a/1"), dedup.Full)
	checkClaim(t, h, start, request("0", "b/1"), dedup.Held)
	h.Release(start, request("0", "a/1"))
	checkClaim(t, h, start, request("more", "a/1"), dedup.Granted)
	refused := false
	for i := range 10 * options.MaxRecords {
		h.Release(start, request("more", "a/1"))
		refused = refused || h.Claim(start.Add(time.Duration(i)), request("more", "a/1")) == dedup.Full
	}
	if !refused {
		t.Error("claims and releases of one id were never refused")
	}
	later := start.Add(options.Retention + time.Second)
	checkClaim(t, h, later, request("later", "a/1"), dedup.Granted)
	if got := h.Len(); got != 1 {
		t.Errorf("%d records, want 1", got)
	}
}

// A home that restarts between a request and its repeat must not treat the
// forgotten ID as new, or the request runs twice.
func TestRecentlyBootedHomeIsUnsure(t *testing.T) {
	h := dedup.NewClaimStore(start, options)
	now := start.Add(time.Minute)
	checkClaim(t, h, now, request("opaque", "a/1"), dedup.Unsure)
	issued := func(at time.Time) dedup.Request {
		r := request(fmt.Sprint(at.UnixNano()), "a/1")
		r.Issued = at
		return r
	}
	settled := start.Add(options.MembershipDelay + options.MaxClockSkew)
	checkClaim(t, h, now, issued(settled), dedup.Unsure)
	checkClaim(t, h, now, issued(settled.Add(time.Millisecond)), dedup.Granted)
	// An ID with a time in the future contains no usable creation time.
	checkClaim(t, h, now, issued(now.Add(options.MaxClockSkew+time.Millisecond)), dedup.Unsure)
	checkClaim(t, h, start.Add(options.Retention), request("opaque", "a/1"), dedup.Granted)
}

// A repeat that arrives after its record has expired must not run again when
// the ID itself shows that it is older than Retention.
func TestOldIDIsUnsure(t *testing.T) {
	h := oldClaims()
	r := request("old", "a/1")
	r.Issued = start.Add(options.MaxClockSkew - options.Retention - time.Millisecond)
	checkClaim(t, h, start, r, dedup.Unsure)
}

func TestIssuedAt(t *testing.T) {
	id := uuid.Must(uuid.NewV7())
	at, ok := dedup.IssuedAt(id.String())
	if seconds, nanos := id.Time().UnixTime(); !ok || at.UnixMilli() != seconds*1000+nanos/1e6 {
		t.Errorf("got %s, %t", at, ok)
	}
	for _, other := range []string{"", "order-17", uuid.New().String()} {
		if _, ok := dedup.IssuedAt(other); ok {
			t.Errorf("%q contains a time", other)
		}
	}
}

func TestHomesFor(t *testing.T) {
	var known []model.DaemonID
	for i := range 8 {
		known = append(known, model.DaemonID(fmt.Sprintf("entry-%d", i)))
	}
	used := make(map[model.DaemonID]int)
	const ids = 8000
	for i := range ids {
		id := fmt.Sprint(i)
		homes := dedup.HomesFor("s", id, known)
		if len(homes) != dedup.NumHomes {
			t.Fatalf("%d homes", len(homes))
		}
		for _, home := range homes {
			used[home]++
		}
		backwards := slices.Clone(known)
		slices.Reverse(backwards)
		if got := dedup.HomesFor("s", id, backwards); !slices.Equal(got, homes) {
			t.Fatalf("homes depend on the order of members: %v and %v", got, homes)
		}
		// Without the first home, the others move up and one more follows.
		without := slices.DeleteFunc(slices.Clone(known), func(m model.DaemonID) bool { return m == homes[0] })
		if got := dedup.HomesFor("s", id, without); !slices.Equal(got[:2], homes[1:]) {
			t.Fatalf("homes changed: %v, then %v", homes, got)
		}
	}
	for member, n := range used {
		if mean := ids * dedup.NumHomes / len(known); n < mean*9/10 || n > mean*11/10 {
			t.Errorf("%s is a home of %d ids, want about %d", member, n, mean)
		}
	}
	if got := dedup.HomesFor("s", "r", known[:2]); len(got) != 2 {
		t.Errorf("got %v of two members", got)
	}
}

func TestEligible(t *testing.T) {
	now := start
	settle := options.MembershipDelay + options.MaxClockSkew
	members := []dedup.Member{
		{ID: "up"},
		{ID: "silent", LastSeen: now.Add(-options.Retention)},
		{ID: "long-silent", LastSeen: now.Add(-options.Retention - 1)},
		{ID: "gone", LastSeen: now.Add(-time.Minute), RemovedAt: now.Add(-time.Minute)},
	}
	check := func(issued time.Time, want ...model.DaemonID) {
		t.Helper()
		if got := dedup.Eligible(now, issued, members, options); !slices.Equal(got, want) {
			t.Errorf("issued %s: got %v, want %v", issued, got, want)
		}
	}
	check(time.Time{}, "up", "silent", "gone")
	check(now.Add(-time.Minute+settle), "up", "silent", "gone")
	check(now.Add(-time.Minute+settle+1), "up", "silent")
}

func TestClaimOutcome(t *testing.T) {
	const (
		g, h, m, u, f = dedup.Granted, dedup.Held, dedup.Mismatch, dedup.Unsure, dedup.Full
	)
	tests := []struct {
		verdicts []dedup.Verdict
		homes    int
		want     dedup.Outcome
	}{
		{nil, 0, dedup.RefusedUnsure},
		{nil, 3, dedup.Undecided},
		{[]dedup.Verdict{g}, 3, dedup.Undecided},
		{[]dedup.Verdict{g, g}, 3, dedup.Proceed},
		{[]dedup.Verdict{g, u, g}, 3, dedup.Proceed},
		{[]dedup.Verdict{g, u, u}, 3, dedup.RefusedUnsure},
		{[]dedup.Verdict{g, f, f}, 3, dedup.RefusedFull},
		{[]dedup.Verdict{f, u, u}, 3, dedup.RefusedUnsure},
		{[]dedup.Verdict{g, g, h}, 3, dedup.RefusedHeld},
		{[]dedup.Verdict{f, f, h}, 3, dedup.RefusedHeld},
		{[]dedup.Verdict{h, m}, 3, dedup.RefusedMismatch},
		{[]dedup.Verdict{g}, 1, dedup.Proceed},
		{[]dedup.Verdict{g}, 2, dedup.Undecided},
		{[]dedup.Verdict{g, u}, 2, dedup.RefusedUnsure},
		{[]dedup.Verdict{g, g}, 2, dedup.Proceed},
	}
	for _, test := range tests {
		homes := []model.DaemonID{"a", "b", "c"}[:test.homes]
		c := dedup.NewClaim(homes)
		for i, v := range test.verdicts {
			c.Add(homes[i], v)
		}
		if got := c.Outcome(); got != test.want {
			t.Errorf("%v of %d: got %s, want %s", test.verdicts, test.homes, got, test.want)
		}
	}
}

// When two of an ID's three homes restart, a repeat of the request must not run
// again. It is refused as unsure, which is reported to callers as unknown,
// although the remaining home has no record of the ID.
func TestLostHomesMakeARepeatUnsure(t *testing.T) {
	members := []model.DaemonID{"a", "b", "c"}
	homes := map[model.DaemonID]*dedup.ClaimStore{"a": oldClaims(), "b": oldClaims(), "c": oldClaims()}
	claim := func(claimant string, unavailable model.DaemonID) dedup.Outcome {
		c := dedup.NewClaim(dedup.HomesFor("s", "r", members))
		for _, m := range members {
			v := dedup.Unsure
			if m != unavailable {
				v = homes[m].Claim(start, request("r", claimant))
			}
			c.Add(m, v)
		}
		return c.Outcome()
	}
	if got := claim("x/1", "c"); got != dedup.Proceed {
		t.Fatalf("first use: %s", got)
	}
	homes["a"] = dedup.NewClaimStore(start, options)
	homes["b"] = dedup.NewClaimStore(start, options)
	if got := claim("y/1", ""); got != dedup.RefusedUnsure {
		t.Errorf("repeat: got %s, want unsure", got)
	}
}
