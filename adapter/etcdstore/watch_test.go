package etcdstore_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/guavarill/guavarill/adapter/etcdstore"
	"github.com/guavarill/guavarill/port"
	"github.com/guavarill/guavarill/standin/store"
)

func openWatch(t *testing.T, s *etcdstore.Store, prefix string, after int64) <-chan port.WatchEvent {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	events, err := s.Watch(ctx, prefix, after)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

func mustPut(t *testing.T, s port.Store, key, value string) int64 {
	t.Helper()
	result, err := s.Txn(context.Background(), nil, put(key, value))
	if err != nil {
		t.Fatal(err)
	}
	return result.Revision
}

// wantEnd reads events until the watch ends and checks the kind of its error.
func wantEnd(t *testing.T, events <-chan port.WatchEvent, kind port.StoreErrorKind) {
	t.Helper()
	for {
		ev := receive(t, events)
		if ev.Err != nil {
			wantFailure(t, ev.Err, kind, port.OutcomeNotDone)
			break
		}
	}
	if _, open := <-events; open {
		t.Error("the watch sent an event after its error")
	}
}

func TestWatchReportsChangesAfterItsRevision(t *testing.T) {
	server, s := connect(t, waitTimeout)
	first := mustPut(t, s, "a/1", "one")
	mustPut(t, s, "a/2", "two")
	mustPut(t, s, "b/1", "other")
	events := openWatch(t, s, "a/", first)
	if ev := receive(t, events); ev.KeyValue.Key != "a/2" || ev.Deleted || ev.Revision != first+1 {
		t.Errorf("first event %+v", ev)
	}
	deletion := []port.Op{{Key: "a/", RangeEnd: "a0", Delete: true}}
	if _, err := s.Txn(context.Background(), nil, deletion); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"a/1", "a/2"} {
		if ev := receive(t, events); ev.KeyValue.Key != key || !ev.Deleted || ev.Revision != server.Revision() {
			t.Errorf("deletion %+v, want of %s", ev, key)
		}
	}
}

func TestWatchEndsQuietlyWithItsContext(t *testing.T) {
	_, s := connect(t, waitTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	events, err := s.Watch(ctx, "a/", 0)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	select {
	case ev, open := <-events:
		if open {
			t.Errorf("event %+v after the context ended", ev)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the watch did not end")
	}
}

func TestWatchFromCompactedRevision(t *testing.T) {
	server, s := connect(t, waitTimeout)
	first := mustPut(t, s, "a/1", "one")
	last := mustPut(t, s, "a/1", "two")
	server.Compact(last)
	wantEnd(t, openWatch(t, s, "a/", first), port.StoreCompacted)
}

func TestWatchEndsWhenItsConnectionBreaks(t *testing.T) {
	server, s := connect(t, waitTimeout)
	events := openWatch(t, s, "a/", 0)
	server.BreakConnections()
	wantEnd(t, events, port.StoreWatchBroken)
}

func TestFrozenWatchReportsAllEventsOnceThawed(t *testing.T) {
	server, s := connect(t, waitTimeout)
	events := openWatch(t, s, "a/", 0)
	server.FreezeWatches()
	mustPut(t, s, "a/1", "one")
	mustPut(t, s, "a/1", "two")
	select {
	case ev := <-events:
		t.Fatalf("frozen watch sent event %+v", ev)
	default:
	}
	server.ThawWatches()
	for _, value := range []string{"one", "two"} {
		if ev := receive(t, events); string(ev.KeyValue.Value) != value {
			t.Errorf("event %+v, want %s", ev, value)
		}
	}
}

// Guards against a daemon whose calls all time out, and whose watch receives
// nothing, although the store works: a middlebox drops the state of the
// connection without closing it, and later calls continue to use the silent
// connection.
func TestCallsLeaveSilentConnection(t *testing.T) {
	t.Parallel()
	server, s := connect(t, shortTimeout)
	events := openWatch(t, s, "a/", 0)
	server.SilenceConnections()
	_, err := s.Txn(context.Background(), nil, put("a/1", "one"))
	wantFailure(t, err, port.StoreTimeout, port.OutcomeUnknown)
	await(t, "a response on a new connection", func() bool {
		_, err := s.Get(context.Background(), "a/1")
		return err == nil
	})
	wantEnd(t, events, port.StoreWatchBroken)
}

// Guards against a daemon that misses configuration changes without an error: a
// connection with only a watch goes silent, and nothing is sent on it whose
// missing response would reveal that.
func TestPingsFindSilentWatch(t *testing.T) {
	t.Parallel()
	server, addr := startServer(t, store.Options{})
	s := newStore(t, etcdstore.Options{Endpoint: addr, CallTimeout: waitTimeout, PingTimeout: time.Second})
	events := openWatch(t, s, "a/", 0)
	server.SilenceConnections()
	wantEnd(t, events, port.StoreWatchBroken)
}

// Guards against a poll that does not find the changes a silent watch missed: the
// poll uses the same silent connection as the watch and times out.
func TestPollOnFreshConnection(t *testing.T) {
	server, s := connect(t, waitTimeout)
	server.SilenceConnections()
	ctx := etcdstore.WithFreshConnection(context.Background())
	if _, err := s.Get(ctx, "a/1"); err != nil {
		t.Fatal(err)
	}
	s.Reconnect()
	if _, err := s.Get(context.Background(), "a/1"); err != nil {
		t.Fatal(err)
	}
}

func TestClosedStoreMakesNoCalls(t *testing.T) {
	_, s := connect(t, waitTimeout)
	s.Close()
	_, err := s.Get(context.Background(), "k")
	wantFailure(t, err, port.StoreUnavailable, port.OutcomeNotDone)
	var closed etcdstore.ClosedError
	if !errors.As(err, &closed) {
		t.Errorf("cause of %v is not ClosedError", err)
	}
}
