package jobservice

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/guavarill/guavarill/adapter/logsink"
	"github.com/guavarill/guavarill/port"
)

// TestFollowerWatchesFromTheRevisionRead guards against followers whose watches are
// refused once the leader's key is older than the store's history, so that each of
// them reads it ten times a second. A watch has to start from the store's revision
// at the time of the read.
func TestFollowerWatchesFromTheRevisionRead(t *testing.T) {
	store := newMemStore()
	lease, err := store.GrantLease(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	store.write(port.Op{Key: leaderKey, Value: encodeRecord(leaderRecord{Daemon: "a", Incarnation: "1"}), Lease: lease})
	for range 3 {
		store.write(port.Op{Key: ledgerKey, Value: encodeRecord(ledgerRecord{})})
	}
	store.compact()
	l := NewLeader(Options{
		Daemon: "b", Incarnation: "1", Processors: 1, Store: store, Log: logsink.NewLogger(t.Output()),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	vacant := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		_, err := l.awaitVacancy(ctx)
		vacant <- err
	}()
	<-store.watched
	if err := store.RevokeLease(t.Context(), lease); err != nil {
		t.Fatal(err)
	}
	if err := <-vacant; err != nil {
		t.Fatalf("the leader's key is not vacant: %v", err)
	}
	if n := store.compactedWatches(); n > 0 {
		t.Errorf("%d watches asked for history that the store no longer has", n)
	}
}
