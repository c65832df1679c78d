package storebudget

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const middle = uint64(1) << 63

func allowed(b *Budget, now time.Time, c Class) bool {
	ok, _ := b.Allow(now, c, middle)
	return ok
}

func drain(b *Budget, now time.Time, c Class) int {
	n := 0
	for allowed(b, now, c) {
		n++
	}
	return n
}

// Commits that exhaust the daemon's share of writes must not delay the renewal
// of its lease, or it would lose the lease while the store works.
func TestLeaseRenewalPassesExhaustedCommits(t *testing.T) {
	b := New(epoch, Options{Daemons: 300})
	if drain(b, epoch, ClassCommit) == 0 {
		t.Fatal("no commit was allowed")
	}
	if !allowed(b, epoch, ClassLease) {
		t.Fatal("commits left no token for the lease")
	}
}

func TestReadsAreOrderedByUrgency(t *testing.T) {
	b := New(epoch, Options{Daemons: 1000, StoreReads: 1})
	for _, c := range []Class{ClassPoll, ClassWatch, ClassRead, ClassReadBack} {
		if drain(b, epoch, c) == 0 {
			t.Errorf("less urgent classes left no token for %s", c)
		}
	}
}

func TestRetryAtIsWhenTheCallIsAllowed(t *testing.T) {
	b := New(epoch, Options{Daemons: 300})
	drain(b, epoch, ClassCommit)
	_, at := b.Allow(epoch, ClassCommit, middle)
	if !at.After(epoch) {
		t.Fatalf("retry at %v, not later", at)
	}
	if allowed(b, at.Add(-time.Millisecond), ClassCommit) {
		t.Error("allowed before the time given")
	}
	if !allowed(b, at, ClassCommit) {
		t.Error("not allowed at the time given")
	}
}

func TestBackoffDoublesUpToItsCap(t *testing.T) {
	b := New(epoch, Options{Daemons: 7})
	now := epoch
	var waits []time.Duration
	for range 12 {
		b.Observe(now, ClassLease, Failed)
		failed := now
		for ok, at := b.Allow(now, ClassLease, ^uint64(0)); !ok; ok, at = b.Allow(now, ClassLease, middle) {
			now = at
		}
		waits = append(waits, now.Sub(failed).Round(time.Millisecond))
	}
	if waits[0] != DefaultBackoffBase || waits[1] != 2*DefaultBackoffBase {
		t.Errorf("first waits %v", waits[:2])
	}
	if last := waits[len(waits)-1]; last != DefaultLeaseBackoffCap {
		t.Errorf("last wait %v, want the cap %v", last, DefaultLeaseBackoffCap)
	}
}

// A broken connection fails all calls in flight. If each of them doubled the
// backoff, an interruption of some milliseconds would block calls for seconds.
func TestCallsThatFailTogetherCountOnce(t *testing.T) {
	b := New(epoch, Options{Daemons: 7})
	for range 8 {
		b.Observe(epoch, ClassCommit, Failed)
	}
	if !allowed(b, epoch.Add(DefaultBackoffBase), ClassCommit) {
		t.Fatal("failures at the same time back off longer than one failure")
	}
}

// At the end of a backoff only one call may probe the store. If all pending
// calls went at once, they would overload a store that is recovering.
func TestOneProbeUntilAnAnswer(t *testing.T) {
	b := New(epoch, Options{Daemons: 7})
	b.Observe(epoch, ClassCommit, Failed)
	later := epoch.Add(time.Second)
	if n := drain(b, later, ClassCommit); n != 1 {
		t.Fatalf("%d calls went before an answer, want 1", n)
	}
	b.Observe(later, ClassCommit, Answered)
	if drain(b, later, ClassCommit) < 2 {
		t.Fatal("the lane stayed closed after an answer")
	}
}

func TestAnswerElsewhereHastensOtherLanes(t *testing.T) {
	b := New(epoch, Options{Daemons: 7})
	now := epoch
	for range 20 {
		b.Allow(now, ClassLease, middle)
		b.Observe(now, ClassLease, Failed)
		b.Allow(now, ClassCommit, middle)
		b.Observe(now, ClassCommit, Failed)
		now = now.Add(DefaultBackoffCap)
	}
	b.Allow(now, ClassLease, middle)
	b.Allow(now, ClassCommit, middle)
	b.Observe(now, ClassLease, Answered)
	b.Observe(now, ClassCommit, Failed)
	if !allowed(b, now.Add(time.Second), ClassCommit) {
		t.Fatal("commits wait for the end of their backoff although the store responds")
	}
}

func TestRefusalsForLoadCutTheRate(t *testing.T) {
	b := New(epoch, Options{Daemons: 1, StoreWrites: 100})
	b.Observe(epoch, ClassCommit, Overloaded)
	now := epoch.Add(200 * time.Millisecond)
	allowed(b, now, ClassCommit)
	b.Observe(now, ClassCommit, Answered)
	drain(b, now, ClassCommit)
	now = now.Add(time.Second)
	if n := drain(b, now, ClassCommit); n < 70 || n > 85 {
		t.Errorf("%d calls in the second after a refusal, want about half of 150", n)
	}
}

func TestMoreDaemonsLowerTheShare(t *testing.T) {
	b := New(epoch, Options{Daemons: 10})
	b.SetDaemons(epoch, 300)
	drain(b, epoch, ClassCommit)
	if n := drain(b, epoch.Add(2*time.Second), ClassCommit); n != 3 {
		t.Errorf("%d commits in two seconds, want 3", n)
	}
}
