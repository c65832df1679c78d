package dedup_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/core/dedup"
	"github.com/guavarill/guavarill/core/model"
)

// cluster simulates entries that join, fail and restart, callers that repeat
// requests, and messages that are late or lost, all within the bounds that the
// package comment states.
type cluster struct {
	rnd     *rand.Rand
	o       dedup.Options
	now     time.Time
	names   int
	entries []*entry // all entries ever booted, in the order of first boot
	uses    []*use
	claims  []*pendingClaim
	sent    int // claims that proceeded
}

type entry struct {
	id     model.DaemonID
	up     bool
	booted time.Time
	failed time.Time
	gone   time.Time
	homes  *dedup.ClaimStore
	// seenAfter is the delay after this boot until each other entry sees it.
	seenAfter map[model.DaemonID]time.Duration
	// before is when an earlier run under this name ended; zero without one.
	before time.Time
}

// use is one request ID with its actual history.
type use struct {
	id     string
	issued time.Time // as the ID states it
	first  time.Time // of the first claim
	runs   int
}

type pendingClaim struct {
	by      *entry
	boot    time.Time
	began   time.Time
	use     *use
	request dedup.Request
	claim   *dedup.Claim
	left    []model.DaemonID
	over    bool
}

const (
	firstEntries = 4
	steps        = 250
	opaqueEvery  = 3
)

func newCluster(seed uint64) *cluster {
	w := &cluster{
		rnd: rand.New(rand.NewPCG(seed, seed)),
		o:   dedup.Options{Retention: time.Minute, MembershipDelay: 5 * time.Second, MaxClockSkew: 2 * time.Second, MaxRecords: 50},
		now: start,
	}
	for range firstEntries {
		w.bootNew()
	}
	w.now = w.now.Add(w.o.Retention)
	return w
}

func (w *cluster) duration(most time.Duration) time.Duration {
	return time.Duration(w.rnd.Int64N(int64(most) + 1))
}

func (w *cluster) bootNew() {
	w.names++
	e := &entry{id: model.DaemonID(fmt.Sprintf("e%d", w.names))}
	w.entries = append(w.entries, e)
	w.boot(e)
}

// boot starts an entry with empty memory.
func (w *cluster) boot(e *entry) {
	e.before = e.failed
	e.up = true
	e.booted = w.now
	e.failed = time.Time{}
	e.gone = time.Time{}
	e.homes = dedup.NewClaimStore(w.now, w.o)
	e.seenAfter = make(map[model.DaemonID]time.Duration)
}

func (w *cluster) fail(e *entry) {
	e.up = false
	e.failed = w.now
	if w.rnd.IntN(2) == 0 {
		e.gone = w.now
	}
}

// members is viewer's view of the entries now.
func (w *cluster) members(viewer *entry) []dedup.Member {
	var known []dedup.Member
	for _, e := range w.entries {
		if !w.sees(viewer, e) {
			continue
		}
		m := dedup.Member{ID: e.id}
		if !e.up {
			m.LastSeen = e.failed
			m.RemovedAt = e.gone
		}
		known = append(known, m)
	}
	return known
}

func (w *cluster) sees(viewer, e *entry) bool {
	if viewer == e {
		return true
	}
	if !e.before.IsZero() && w.now.Sub(e.before) <= w.o.Retention {
		return true
	}
	after, ok := e.seenAfter[viewer.id]
	if !ok {
		after = w.duration(w.o.MembershipDelay)
		e.seenAfter[viewer.id] = after
	}
	return !w.now.Before(e.booted.Add(after))
}

// newUse creates an ID, by the clock of a caller that is off by up to half of
// MaxClockSkew.
func (w *cluster) newUse() *use {
	u := &use{id: fmt.Sprintf("r%d", len(w.uses))}
	if w.rnd.IntN(opaqueEvery) > 0 {
		u.issued = w.now.Add(w.duration(w.o.MaxClockSkew) - w.o.MaxClockSkew/2).Truncate(time.Millisecond)
	}
	w.uses = append(w.uses, u)
	return u
}

// newOrRepeatedUse returns a new request or the repeat of an old one that the
// guarantee covers.
func (w *cluster) newOrRepeatedUse() *use {
	if len(w.uses) == 0 || w.rnd.IntN(4) == 0 {
		return w.newUse()
	}
	recent := w.uses[max(0, len(w.uses)-8):]
	u := recent[w.rnd.IntN(len(recent))]
	if u.issued.IsZero() && !u.first.IsZero() && w.now.Sub(u.first) >= w.o.Retention/2 {
		return w.newUse()
	}
	return u
}

func (w *cluster) begin() {
	e := w.entries[w.rnd.IntN(len(w.entries))]
	if !e.up || w.now.Sub(e.booted) < w.o.MembershipDelay {
		return
	}
	u := w.newOrRepeatedUse()
	if u.first.IsZero() {
		u.first = w.now
	}
	homes := dedup.HomesFor("s", u.id, dedup.Eligible(w.now, u.issued, w.members(e), w.o))
	c := &pendingClaim{
		by: e, boot: e.booted, began: w.now, use: u,
		request: dedup.Request{
			Service: "s", ID: u.id, Claimant: fmt.Sprintf("%s/%d", e.id, w.rnd.Uint64()),
			Issued: u.issued, Payload: 1,
		},
		claim: dedup.NewClaim(homes),
		left:  slices.Clone(homes),
	}
	w.claims = append(w.claims, c)
}

// deliver sends one message of a claim to its home and returns the verdict,
// unless either message is lost.
func (w *cluster) deliver() {
	if len(w.claims) == 0 {
		return
	}
	i := w.rnd.IntN(len(w.claims))
	c := w.claims[i]
	if len(c.left) == 0 {
		w.claims = slices.Delete(w.claims, i, i+1)
		return
	}
	at := w.rnd.IntN(len(c.left))
	home := w.entry(c.left[at])
	c.left = slices.Delete(c.left, at, at+1)
	v := dedup.Unsure
	if home.up && w.rnd.IntN(10) > 0 {
		v = home.homes.Claim(w.now, c.request)
		if w.rnd.IntN(10) == 0 {
			v = dedup.Unsure // the response is lost
		}
	}
	c.claim.Add(home.id, v)
	w.conclude(c)
}

// conclude sends the request once its claim allows it.
func (w *cluster) conclude(c *pendingClaim) {
	outcome := c.claim.Outcome()
	if c.over || outcome == dedup.Undecided {
		return
	}
	c.over = true
	alive := c.by.up && c.by.booted.Equal(c.boot)
	if outcome != dedup.Proceed || !alive || w.now.Sub(c.began) >= w.o.ClaimValid() {
		return
	}
	w.sent++
	if w.rnd.IntN(5) > 0 {
		c.use.runs++
		return
	}
	// The target did not start the request: the claim is released, as far as
	// the messages arrive.
	for _, id := range c.claim.Granted() {
		if home := w.entry(id); home.up && w.rnd.IntN(4) > 0 {
			home.homes.Release(w.now, c.request)
		}
	}
}

func (w *cluster) entry(id model.DaemonID) *entry {
	for _, e := range w.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *cluster) step() {
	switch n := w.rnd.IntN(100); {
	case n < 30:
		w.begin()
	case n < 85:
		w.deliver()
	case n < 93:
		w.now = w.now.Add(w.duration(w.o.Retention / 6))
	case n < 96:
		if e := w.entries[w.rnd.IntN(len(w.entries))]; e.up {
			w.fail(e)
		}
	case n < 98:
		if e := w.entries[w.rnd.IntN(len(w.entries))]; !e.up && e.gone.IsZero() {
			w.boot(e)
		}
	default:
		w.bootNew()
	}
}

func (w *cluster) ranTwice() (string, bool) {
	for _, u := range w.uses {
		if u.runs > 1 {
			return u.id, true
		}
	}
	return "", false
}

// A non-idempotent ID must run at most once under any sequence of failures,
// restarts, joins, lost and late messages, and repeats through any entry,
// within the bounds of the package comment.
func TestNoIdRunsTwice(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(parameters)
	sent, uses := 0, 0
	properties.Property("at most once", prop.ForAll(func(seed uint64) (bool, error) {
		w := newCluster(seed)
		for range steps {
			w.step()
		}
		sent += w.sent
		uses += len(w.uses)
		if id, doubled := w.ranTwice(); doubled {
			return false, &ranTwiceError{id: id}
		}
		return true, nil
	}, gen.UInt64()))
	properties.TestingRun(t)
	if sent < uses/4 {
		t.Errorf("only %d of %d ids were sent: too few for the property to be meaningful", sent, uses)
	}
	t.Logf("%d ids, %d sent", uses, sent)
}

type ranTwiceError struct{ id string }

func (e *ranTwiceError) Error() string { return e.id + " ran twice" }
