package grpcrelay

import (
	"context"
	"net"
	"slices"
	"testing"

	"github.com/guavarill/guavarill/port"
)

// recordingStore records the last transaction.
type recordingStore struct {
	conditions []port.Condition
	changes    []port.Op
}

func (*recordingStore) Get(_ context.Context, key string) (port.KeyValue, error) {
	return port.KeyValue{Key: key}, nil
}

func (s *recordingStore) Txn(_ context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	s.conditions, s.changes = conditions, changes
	return port.TxnResult{Succeeded: true, Revision: 7}, nil
}

// Guards against a record that is to be removed and is overwritten with nothing, where a
// daemon uses the store through another one.
func TestTransactionThroughAPeerRemovesRecords(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	store, server := new(recordingStore), NewServer()
	NewRecordsServer(server, store, func() bool { return true })
	go func() {
		if err := server.Serve(l); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(server.Stop)
	conditions := []port.Condition{{Key: "a", Kind: port.CompareModRevision, Revision: 3}}
	changes := []port.Op{{Key: "a", Value: []byte("x")}, {Key: "b", Delete: true}}
	result, err := NewRecordsClient().At(l.Addr().String()).Txn(t.Context(), conditions, changes)
	if err != nil || !result.Succeeded || result.Revision != 7 {
		t.Fatalf("%+v, %v", result, err)
	}
	if !slices.Equal(store.conditions, conditions) {
		t.Errorf("conditions %+v", store.conditions)
	}
	if len(store.changes) != 2 || string(store.changes[0].Value) != "x" || store.changes[0].Delete || store.changes[1].Key != "b" || !store.changes[1].Delete {
		t.Errorf("changes %+v", store.changes)
	}
}
