package store

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	"github.com/guavarill/guavarill/port"
)

var ctx = context.Background()

func newLocal(o Options) (*Server, *ManualClock, *Local) {
	clock := NewManualClock(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	o.Clock = clock
	s := New(o)
	return s, clock, s.Local()
}

func put(t *testing.T, l *Local, key, value string, lease port.LeaseID) int64 {
	t.Helper()
	result, err := l.Txn(ctx, nil, []port.Op{{Key: key, Value: []byte(value), Lease: lease}})
	if err != nil {
		t.Fatal(err)
	}
	return result.Revision
}

func watch(t *testing.T, l *Local, prefix string, after int64) <-chan port.WatchEvent {
	t.Helper()
	events, err := l.Watch(ctx, prefix, after)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// told is what is in the channel now.
func told(events <-chan port.WatchEvent) []port.WatchEvent {
	var all []port.WatchEvent
	for len(events) > 0 {
		all = append(all, <-events)
	}
	return all
}

func wantFailure(t *testing.T, err error, kind port.StoreErrorKind, outcome port.Outcome) {
	t.Helper()
	var failure *port.StoreError
	if !errors.As(err, &failure) || failure.Kind != kind || failure.Outcome != outcome {
		t.Errorf("got %v, want %q, change %v", err, kind, outcome)
	}
}

func TestRevisionsAndConditions(t *testing.T) {
	_, _, l := newLocal(Options{})
	created := put(t, l, "a", "1", 0)
	changed := put(t, l, "a", "2", 0)
	kv, err := l.Get(ctx, "a")
	if err != nil || kv.CreateRevision != created || kv.ModRevision != changed {
		t.Fatalf("got %+v, %v", kv, err)
	}
	stale := []port.Condition{{Key: "a", Kind: port.CompareModRevision, Revision: created}}
	result, err := l.Txn(ctx, stale, []port.Op{{Key: "a", Value: []byte("3")}})
	if err != nil || result.Succeeded || result.Revision != changed {
		t.Errorf("stale transaction: %+v, %v", result, err)
	}
	both := []port.Op{{Key: "a", Delete: true}, {Key: "b"}, {Key: "c"}}
	if result, err := l.Txn(ctx, nil, both); err != nil || result.Revision != changed+1 {
		t.Errorf("three changes made %+v, %v, want one revision", result, err)
	}
	if recreated := put(t, l, "a", "4", 0); recreated == created {
		t.Error("a new key has its predecessor's create revision")
	}
	if kvs, _, _ := l.List(ctx, ""); len(kvs) != 3 {
		t.Errorf("%d keys in all, want 3", len(kvs))
	}
}

func TestWhatTheServiceRefuses(t *testing.T) {
	_, _, l := newLocal(Options{MaxTxnOps: 2})
	cases := map[string]struct {
		ops  []port.Op
		kind port.StoreErrorKind
	}{
		"key changed twice":       {[]port.Op{{Key: "a"}, {Key: "a"}}, etcdwire.KindRefused},
		"put in a deleted range":  {[]port.Op{{Key: "a/1"}, {Key: "a/", RangeEnd: "a0", Delete: true}}, etcdwire.KindRefused},
		"too many changes":        {[]port.Op{{Key: "a"}, {Key: "b"}, {Key: "c"}}, port.StoreTooLarge},
		"value too large":         {[]port.Op{{Key: "a", Value: make([]byte, port.MaxValueBytes+1)}}, port.StoreTooLarge},
		"lease that is not there": {[]port.Op{{Key: "a", Lease: 5}}, port.StoreLeaseNotFound},
		"no key":                  {[]port.Op{{}}, etcdwire.KindRefused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := l.Txn(ctx, nil, c.ops)
			wantFailure(t, err, c.kind, port.OutcomeNotDone)
		})
	}
	if kvs, _, _ := l.List(ctx, ""); len(kvs) != 0 {
		t.Errorf("refused changes left %v", kvs)
	}
}

func TestLeaseRunsOutAndTellsWatches(t *testing.T) {
	s, clock, l := newLocal(Options{})
	lease, _ := l.GrantLease(ctx, 10*time.Second)
	put(t, l, "held/1", "x", lease)
	put(t, l, "held/2", "x", lease)
	put(t, l, "held/2", "kept", 0)
	events := watch(t, l, "held/", s.Revision())
	clock.Advance(9 * time.Second)
	if _, err := l.KeepAlive(ctx, lease); err != nil {
		t.Fatal(err)
	}
	clock.Advance(9 * time.Second)
	s.Tick()
	if got := told(events); len(got) != 0 {
		t.Fatalf("a renewed lease ended: %+v", got)
	}
	clock.Advance(time.Second)
	s.Tick()
	got := told(events)
	if len(got) != 1 || !got[0].Deleted || got[0].KeyValue.Key != "held/1" {
		t.Fatalf("told %+v, want the end of held/1", got)
	}
	_, err := l.KeepAlive(ctx, lease)
	wantFailure(t, err, port.StoreLeaseNotFound, port.OutcomeNotDone)
}

func TestLeasesAndOutages(t *testing.T) {
	for _, extend := range []bool{false, true} {
		s, clock, l := newLocal(Options{ExtendLeasesOnUp: extend})
		lease, _ := l.GrantLease(ctx, 10*time.Second)
		put(t, l, "held", "x", lease)
		s.Down()
		clock.Advance(time.Hour)
		s.Tick()
		s.Up()
		if kv, err := l.Get(ctx, "held"); err != nil || (kv.ModRevision != 0) != extend {
			t.Errorf("extended %v: after the outage %+v, %v", extend, kv, err)
		}
	}
}

func TestLapsedLease(t *testing.T) {
	s, _, l := newLocal(Options{})
	lease, _ := l.GrantLease(ctx, time.Hour)
	put(t, l, "held", "x", lease)
	if s.LapseLeaseOf("other") || !s.LapseLeaseOf("held") || s.LapseLease(int64(lease)) {
		t.Error("the wrong lease lapsed")
	}
	if kv, _ := l.Get(ctx, "held"); kv.ModRevision != 0 {
		t.Error("the key outlived its lease")
	}
}

func TestLocalFaults(t *testing.T) {
	s, _, l := newLocal(Options{})
	ops := []port.Op{{Key: "a", Value: []byte("x")}}
	cases := []struct {
		name    string
		arm     func()
		kind    port.StoreErrorKind
		outcome port.Outcome
		changed bool
	}{
		{"down", s.Down, port.StoreUnavailable, port.OutcomeNotDone, false},
		{"answer lost", func() { s.LoseAnswer(1, LossBreak) }, port.StoreUnavailable, port.OutcomeUnknown, true},
		{"answer hangs", func() { s.LoseAnswer(1, LossHang, MethodTxn) }, port.StoreTimeout, port.OutcomeUnknown, true},
		{"dropped", func() { s.DropBefore(1, LossBreak) }, port.StoreUnavailable, port.OutcomeUnknown, false},
		{"slow", func() { s.Slow(DefaultLocalTimeout) }, port.StoreTimeout, port.OutcomeUnknown, true},
		{"silent", s.SilenceConnections, port.StoreTimeout, port.OutcomeUnknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := s.Revision()
			c.arm()
			_, err := l.Txn(ctx, nil, ops)
			wantFailure(t, err, c.kind, c.outcome)
			if changed := s.Revision() != before; changed != c.changed {
				t.Errorf("changed is %v", changed)
			}
			s.Up()
			s.ClearFaults()
			put(t, l, "a", "y", 0)
		})
	}
}

func TestLocalWatchFaults(t *testing.T) {
	s, _, l := newLocal(Options{})
	events := watch(t, l, "a", 0)
	s.FreezeWatches()
	put(t, l, "a", "1", 0)
	if got := told(events); len(got) != 0 {
		t.Errorf("a frozen watch told %+v", got)
	}
	s.ThawWatches()
	if got := told(events); len(got) != 1 {
		t.Errorf("a thawed watch told %+v", got)
	}
	s.SilenceConnections()
	_, _ = l.Get(ctx, "a")
	later := watch(t, l, "a", s.Revision())
	put(t, l, "a", "2", 0)
	if got := told(events); len(got) != 0 {
		t.Errorf("a silent watch told %+v", got)
	}
	s.Down()
	got := told(later)
	if len(got) != 2 || string(got[0].KeyValue.Value) != "2" {
		t.Fatalf("told %+v, want a change and the end", got)
	}
	wantFailure(t, got[1].Err, port.StoreWatchBroken, port.OutcomeNotDone)
}

func TestHistoryIsBounded(t *testing.T) {
	_, _, l := newLocal(Options{History: 2})
	first := put(t, l, "a", "1", 0)
	put(t, l, "a", "2", 0)
	put(t, l, "a", "3", 0)
	if got := told(watch(t, l, "a", first)); len(got) != 2 {
		t.Errorf("told %+v, want two changes", got)
	}
	got := told(watch(t, l, "a", 0))
	if len(got) != 1 {
		t.Fatalf("told %+v, want only the end", got)
	}
	wantFailure(t, got[0].Err, port.StoreCompacted, port.OutcomeNotDone)
}

func TestRateLimitAndCounts(t *testing.T) {
	s, clock, l := newLocal(Options{ReadsPerSecond: 2})
	for range 2 {
		if _, err := l.Get(ctx, "a"); err != nil {
			t.Fatal(err)
		}
	}
	_, err := l.Get(ctx, "a")
	wantFailure(t, err, etcdwire.KindOverloaded, port.OutcomeNotDone)
	clock.Advance(time.Second)
	if _, err := l.Get(ctx, "a"); err != nil {
		t.Error(err)
	}
	if n := s.Calls(MethodRange); n != 4 {
		t.Errorf("%d calls counted, want 4", n)
	}
}
