package ledger_test

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/guavarill/guavarill/port"
)

// fakeStore is an in-memory key-value store with transactions and leases. It calls
// observer after every revision.
type fakeStore struct {
	revision int64
	keys     map[string]port.KeyValue
	leases   map[port.LeaseID]time.Time
	lastID   port.LeaseID
	observer func(ops []port.Op)
}

func newFakeStore(observer func(ops []port.Op)) *fakeStore {
	return &fakeStore{
		keys:     make(map[string]port.KeyValue),
		leases:   make(map[port.LeaseID]time.Time),
		observer: observer,
	}
}

func (s *fakeStore) txn(conditions []port.Condition, ops []port.Op) port.TxnResult {
	for _, c := range conditions {
		have := s.keys[c.Key].CreateRevision
		if c.Kind == port.CompareModRevision {
			have = s.keys[c.Key].ModRevision
		}
		if have != c.Revision {
			return port.TxnResult{Revision: s.revision}
		}
	}
	s.revision++
	for _, op := range ops {
		s.apply(op)
	}
	s.observer(ops)
	return port.TxnResult{Succeeded: true, Revision: s.revision}
}

func (s *fakeStore) apply(op port.Op) {
	if !op.Delete {
		kv := port.KeyValue{
			Key: op.Key, Value: op.Value, Lease: op.Lease,
			CreateRevision: s.keys[op.Key].CreateRevision, ModRevision: s.revision,
		}
		if kv.CreateRevision == 0 {
			kv.CreateRevision = s.revision
		}
		s.keys[op.Key] = kv
		return
	}
	end := op.RangeEnd
	if end == "" {
		end = op.Key + "\x00"
	}
	maps.DeleteFunc(s.keys, func(k string, _ port.KeyValue) bool { return op.Key <= k && k < end })
}

func (s *fakeStore) list(prefix string) []port.KeyValue {
	var kvs []port.KeyValue
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if strings.HasPrefix(k, prefix) {
			kvs = append(kvs, s.keys[k])
		}
	}
	return kvs
}

func (s *fakeStore) grant(now time.Time, ttl time.Duration) port.LeaseID {
	s.lastID++
	s.leases[s.lastID] = now.Add(ttl)
	return s.lastID
}

func (s *fakeStore) keepAlive(now time.Time, id port.LeaseID, ttl time.Duration) bool {
	if _, ok := s.leases[id]; !ok {
		return false
	}
	s.leases[id] = now.Add(ttl)
	return true
}

// expire revokes the leases that have expired.
func (s *fakeStore) expire(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id]) {
			s.revoke(id)
		}
	}
}

func (s *fakeStore) revoke(id port.LeaseID) {
	delete(s.leases, id)
	s.revision++
	maps.DeleteFunc(s.keys, func(_ string, kv port.KeyValue) bool { return kv.Lease == id })
	s.observer(nil)
}
