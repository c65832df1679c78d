package etcdstore_test

import (
	"context"
	"testing"

	"github.com/guavarill/guavarill/adapter/etcdstore"
	"github.com/guavarill/guavarill/port"
	"github.com/guavarill/guavarill/standin/store"
)

const benchValueBytes = 1024

func benchStore(b *testing.B) *etcdstore.Store {
	_, addr := startServer(b, store.Options{History: 100})
	s := newStore(b, etcdstore.Options{Endpoint: addr})
	value := make([]byte, benchValueBytes)
	if _, err := s.Txn(context.Background(), nil, []port.Op{{Key: "k", Value: value}}); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	return s
}

// reportRate reports calls per second. The time of a call includes that of the
// stand-in store, which runs in the same process.
func reportRate(b *testing.B) {
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

func BenchmarkGet(b *testing.B) {
	s := benchStore(b)
	for b.Loop() {
		if _, err := s.Get(context.Background(), "k"); err != nil {
			b.Fatal(err)
		}
	}
	reportRate(b)
}

func BenchmarkTxn(b *testing.B) {
	s := benchStore(b)
	conditions := []port.Condition{{Key: "absent", Kind: port.CompareCreateRevision}}
	changes := []port.Op{{Key: "k", Value: make([]byte, benchValueBytes)}}
	for b.Loop() {
		if _, err := s.Txn(context.Background(), conditions, changes); err != nil {
			b.Fatal(err)
		}
	}
	reportRate(b)
}

func BenchmarkLocalTxn(b *testing.B) {
	local := store.New(store.Options{History: 100}).Local()
	changes := []port.Op{{Key: "k", Value: make([]byte, benchValueBytes)}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := local.Txn(context.Background(), nil, changes); err != nil {
			b.Fatal(err)
		}
	}
	reportRate(b)
}
