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

// waitTimeout is the timeout for an event that must happen.
const waitTimeout = 30 * time.Second

func startServer(t testing.TB, o store.Options) (*store.Server, string) {
	t.Helper()
	server := store.New(o)
	addr, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server, addr
}

func newStore(t testing.TB, o etcdstore.Options) *etcdstore.Store {
	t.Helper()
	s, err := etcdstore.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// connect starts a stand-in server and returns it with a store whose connection
// is open and sends no pings.
func connect(t testing.TB, timeout time.Duration) (*store.Server, *etcdstore.Store) {
	t.Helper()
	server, addr := startServer(t, store.Options{})
	s := newStore(t, etcdstore.Options{
		Endpoint: addr, CallTimeout: timeout, ReconnectAfter: time.Nanosecond, PingTime: time.Hour,
	})
	await(t, "the first response", func() bool {
		_, err := s.Get(context.Background(), "warm")
		return err == nil
	})
	return server, s
}

func await(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.After(waitTimeout)
	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()
	for !holds() {
		select {
		case <-poll.C:
		case <-deadline:
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func receive(t testing.TB, events <-chan port.WatchEvent) port.WatchEvent {
	t.Helper()
	select {
	case ev, ok := <-events:
		if !ok {
			t.Fatal("the watch ended without an event")
		}
		return ev
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for an event")
	}
	return port.WatchEvent{}
}

func put(key, value string) []port.Op {
	return []port.Op{{Key: key, Value: []byte(value)}}
}

func wantFailure(t testing.TB, err error, kind port.StoreErrorKind, outcome port.Outcome) {
	t.Helper()
	var failure *port.StoreError
	if !errors.As(err, &failure) {
		t.Fatalf("error %v is not a StoreError", err)
	}
	if failure.Kind != kind || failure.Outcome != outcome {
		t.Errorf("got %q (%v), want %q (%v)", failure.Kind, failure, kind, outcome)
	}
}
