package etcdstore_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/guavarill/guavarill/adapter/etcdstore"
	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	"github.com/guavarill/guavarill/port"
	"github.com/guavarill/guavarill/standin/store"
)

// shortTimeout is the timeout in tests whose calls must time out. It is long
// enough for the other calls of the same test to succeed.
const shortTimeout = 2 * time.Second

func TestCallsReadAndWriteTheContents(t *testing.T) {
	_, s := connect(t, waitTimeout)
	ctx := context.Background()
	lease, err := s.GrantLease(ctx, 1500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if ttl, err := s.KeepAlive(ctx, lease); err != nil || ttl != 2*time.Second {
		t.Errorf("lease renewed for %v, %v", ttl, err)
	}
	absent := port.Condition{Key: "a/1", Kind: port.CompareCreateRevision}
	changes := append(put("a/1", "one"), port.Op{Key: "a/2", Value: []byte("two"), Lease: lease})
	first, err := s.Txn(ctx, []port.Condition{absent}, changes)
	if err != nil || !first.Succeeded {
		t.Fatalf("first transaction: %+v, %v", first, err)
	}
	if again, err := s.Txn(ctx, []port.Condition{absent}, changes); err != nil || again.Succeeded {
		t.Errorf("repeated transaction: %+v, %v", again, err)
	}
	kvs, revision, err := s.List(ctx, "a/")
	if err != nil || len(kvs) != 2 || revision != first.Revision {
		t.Fatalf("list: %v at %d, %v", kvs, revision, err)
	}
	if kv := kvs[1]; kv.Key != "a/2" || kv.Lease != lease || kv.CreateRevision != first.Revision {
		t.Errorf("second key: %+v", kv)
	}
	if err := s.RevokeLease(ctx, lease); err != nil {
		t.Error(err)
	}
	if kv, err := s.Get(ctx, "a/2"); err != nil || kv.ModRevision != 0 || kv.Key != "a/2" {
		t.Errorf("key of a revoked lease: %+v, %v", kv, err)
	}
}

func TestLostResponsesLeaveOutcomesUnknown(t *testing.T) {
	faults := []struct {
		name    string
		arm     func(*store.Server)
		kind    port.StoreErrorKind
		changed bool
	}{
		{"response lost with the connection", func(s *store.Server) { s.LoseAnswer(1, store.LossBreak) }, port.StoreUnavailable, true},
		{"response never sent", func(s *store.Server) { s.LoseAnswer(1, store.LossHang) }, port.StoreTimeout, true},
		{"request lost with the connection", func(s *store.Server) { s.DropBefore(1, store.LossBreak) }, port.StoreUnavailable, false},
		{"request never handled", func(s *store.Server) { s.DropBefore(1, store.LossHang) }, port.StoreTimeout, false},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			server, s := connect(t, shortTimeout)
			f.arm(server)
			_, err := s.Txn(context.Background(), nil, put("k", "v"))
			wantFailure(t, err, f.kind, port.OutcomeUnknown)
			kv, _ := server.Local().Get(context.Background(), "k")
			if changed := kv.ModRevision != 0; changed != f.changed {
				t.Errorf("changed is %v", changed)
			}
			if n := server.Calls(store.MethodTxn); n != 1 {
				t.Errorf("%d calls reached the store, want 1", n)
			}
		})
	}
}

// Guards against a change that a slow store makes after it was reported as not
// done: the call times out, but the store continues to process it. A timeout
// therefore leaves the outcome unknown.
func TestSlowChangeIsMadeAfterItsTimeout(t *testing.T) {
	t.Parallel()
	server, s := connect(t, shortTimeout)
	server.Slow(shortTimeout + shortTimeout/2)
	_, err := s.Txn(context.Background(), nil, put("k", "v"))
	wantFailure(t, err, port.StoreTimeout, port.OutcomeUnknown)
	_, err = s.Get(context.Background(), "k")
	wantFailure(t, err, port.StoreTimeout, port.OutcomeNotDone)
	await(t, "the late change", func() bool { return server.Revision() > 1 })
}

func TestChangesThatCertainlyWereNotMade(t *testing.T) {
	ctx := context.Background()
	canceled, cancel := context.WithCancel(ctx)
	cancel()
	large := []port.Op{{Key: "k", Value: make([]byte, port.MaxValueBytes+1)}}
	big := bytes.Repeat([]byte{1}, port.MaxValueBytes)
	bulky := []port.Op{{Key: "a", Value: big}, {Key: "b", Value: big}}
	twice := append(put("k", "v"), put("k", "w")...)
	cases := []struct {
		name    string
		ctx     context.Context
		changes []port.Op
		kind    port.StoreErrorKind
		calls   int
	}{
		{"value too large", ctx, large, port.StoreTooLarge, 0},
		{"transaction too large", ctx, bulky, port.StoreTooLarge, 0},
		{"canceled before sending", canceled, put("k", "v"), port.StoreCallCanceled, 0},
		{"lease not found", ctx, []port.Op{{Key: "k", Lease: 7}}, port.StoreLeaseNotFound, 1},
		{"key changed twice", ctx, twice, etcdwire.KindRefused, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, s := connect(t, waitTimeout)
			_, err := s.Txn(c.ctx, nil, c.changes)
			wantFailure(t, err, c.kind, port.OutcomeNotDone)
			if server.Revision() != 1 {
				t.Error("the store was changed")
			}
			if n := server.Calls(store.MethodTxn); n != c.calls {
				t.Errorf("%d calls reached the store, want %d", n, c.calls)
			}
		})
	}
}

func TestDownStoreIsUnavailableAndNothingIsDone(t *testing.T) {
	server, addr := startServer(t, store.Options{})
	server.Down()
	s := newStore(t, etcdstore.Options{Endpoint: addr})
	_, err := s.Txn(context.Background(), nil, put("k", "v"))
	wantFailure(t, err, port.StoreUnavailable, port.OutcomeNotDone)
	server.Up()
	await(t, "the store to be available again", func() bool {
		_, err := s.Txn(context.Background(), nil, put("k", "v"))
		return err == nil
	})
}

// Guards against reporting a change that was made as not done: the caller
// cancels while the store processes the call, and the adapter takes a canceled
// call for one that was never sent.
func TestCallCanceledInFlightIsUnknown(t *testing.T) {
	server, s := connect(t, waitTimeout)
	server.LoseAnswer(1, store.LossHang)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, err := s.Txn(ctx, nil, put("k", "v"))
		failed <- err
	}()
	await(t, "the change", func() bool { return server.Revision() > 1 })
	cancel()
	wantFailure(t, <-failed, port.StoreCallCanceled, port.OutcomeUnknown)
}

func TestRateLimitOfTheStoreIsReported(t *testing.T) {
	server, addr := startServer(t, store.Options{WritesPerSecond: 1, Clock: store.NewManualClock(time.Now())})
	s := newStore(t, etcdstore.Options{Endpoint: addr, CallTimeout: waitTimeout})
	if _, err := s.Txn(context.Background(), nil, put("k", "v")); err != nil {
		t.Fatal(err)
	}
	_, err := s.Txn(context.Background(), nil, put("k", "w"))
	wantFailure(t, err, etcdwire.KindOverloaded, port.OutcomeNotDone)
	if server.Revision() != 2 {
		t.Error("the rejected change was made")
	}
}

func TestExpiredLeaseIsNotFound(t *testing.T) {
	server, s := connect(t, waitTimeout)
	ctx := context.Background()
	id, err := s.GrantLease(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	server.LapseLease(int64(id))
	_, err = s.KeepAlive(ctx, id)
	wantFailure(t, err, port.StoreLeaseNotFound, port.OutcomeNotDone)
	wantFailure(t, s.RevokeLease(ctx, id), port.StoreLeaseNotFound, port.OutcomeNotDone)
}

func TestLostRenewalIsUnknown(t *testing.T) {
	t.Parallel()
	server, s := connect(t, shortTimeout)
	id, err := s.GrantLease(context.Background(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	server.LoseAnswer(1, store.LossHang)
	_, err = s.KeepAlive(context.Background(), id)
	wantFailure(t, err, port.StoreTimeout, port.OutcomeUnknown)
}

func TestCallsAreCountedByOutcome(t *testing.T) {
	t.Parallel()
	server, addr := startServer(t, store.Options{})
	registry := prometheus.NewRegistry()
	s := newStore(t, etcdstore.Options{Endpoint: addr, CallTimeout: shortTimeout, Registerer: registry})
	ctx := context.Background()
	_, _ = s.Get(ctx, "k")
	server.LoseAnswer(1, store.LossHang)
	_, _ = s.Txn(ctx, nil, put("k", "v"))
	_, _ = s.Txn(ctx, nil, put("k", "v"))
	_, _ = s.Txn(ctx, nil, []port.Op{{Key: "k", Lease: 7}})
	const want = `
# HELP guavarill_store_calls_total Calls to the store by method, by what is known of the change, and by kind of failure.
# TYPE guavarill_store_calls_total counter
guavarill_store_calls_total{call="Get",kind="ok",outcome="done"} 1
guavarill_store_calls_total{call="Txn",kind="lease not found",outcome="not done"} 1
guavarill_store_calls_total{call="Txn",kind="ok",outcome="done"} 1
guavarill_store_calls_total{call="Txn",kind="timeout",outcome="unknown"} 1
`
	if err := testutil.GatherAndCompare(registry, bytes.NewBufferString(want), "guavarill_store_calls_total"); err != nil {
		t.Error(err)
	}
}

func TestOptionsAreChecked(t *testing.T) {
	if _, err := etcdstore.New(etcdstore.Options{Endpoint: "nowhere"}); err == nil {
		t.Error("an endpoint without a port was accepted")
	}
}
