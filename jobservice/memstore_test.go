package jobservice

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/guavarill/guavarill/port"
)

// memStore is an in-memory port.Store. Its leases end only when they are revoked.
type memStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]port.KeyValue
	history  []port.WatchEvent
	leases   map[port.LeaseID]bool
	changed  chan struct{}
	// failing holds how many reads of a key will still fail.
	failing map[string]int
	// compactedRevision is the revision up to which the history is gone.
	// refusedWatches counts the watches that were refused because of it.
	compactedRevision int64
	refusedWatches    int
	// watched receives a value with the first watch.
	watched chan struct{}
}

func newMemStore() *memStore {
	return &memStore{
		revision: 1, items: make(map[string]port.KeyValue), leases: make(map[port.LeaseID]bool),
		changed: make(chan struct{}), watched: make(chan struct{}, 1),
	}
}

// write changes a key as any other writer may.
func (s *memStore) write(op port.Op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]port.Op{op})
}

// compact drops the history so far, as the platform's store does after some seconds.
func (s *memStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = s.revision
	s.history = nil
}

// compactedWatches returns how many watches asked for history that is gone.
func (s *memStore) compactedWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedWatches
}

// refuseCompacted reports whether the history after a revision is incomplete, and
// counts the refused watch.
func (s *memStore) refuseCompacted(after int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after >= s.compactedRevision {
		return false
	}
	s.refusedWatches++
	return true
}

func (s *memStore) apply(changes []port.Op) {
	s.revision++
	for _, c := range changes {
		kv := port.KeyValue{Key: c.Key, Value: c.Value, CreateRevision: s.revision, ModRevision: s.revision, Lease: c.Lease}
		if c.Delete {
			delete(s.items, c.Key)
		} else {
			s.items[c.Key] = kv
		}
		s.history = append(s.history, port.WatchEvent{KeyValue: kv, Deleted: c.Delete, Revision: s.revision})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memStore) Get(_ context.Context, key string) (port.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing[key] > 0 {
		s.failing[key]--
		return port.KeyValue{}, &port.StoreError{Call: "Get", Kind: port.StoreTimeout, Cause: context.DeadlineExceeded}
	}
	if kv, ok := s.items[key]; ok {
		return kv, nil
	}
	return port.KeyValue{Key: key}, nil
}

func (s *memStore) List(_ context.Context, prefix string) ([]port.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []port.KeyValue
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, s.items[key])
		}
	}
	return found, s.revision, nil
}

func (s *memStore) Txn(_ context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range conditions {
		if s.items[c.Key].ModRevision != c.Revision {
			return port.TxnResult{Revision: s.revision}, nil
		}
	}
	s.apply(changes)
	return port.TxnResult{Succeeded: true, Revision: s.revision}, nil
}

func (s *memStore) GrantLease(context.Context, time.Duration) (port.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := port.LeaseID(len(s.leases) + 1)
	s.leases[id] = true
	return id, nil
}

func (s *memStore) KeepAlive(_ context.Context, id port.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leases[id] {
		return 0, &port.StoreError{Call: "KeepAlive", Kind: port.StoreLeaseNotFound, Outcome: port.OutcomeNotDone}
	}
	return time.Second, nil
}

func (s *memStore) RevokeLease(_ context.Context, id port.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[id] = false
	for key, kv := range s.items {
		if kv.Lease == id {
			s.apply([]port.Op{{Key: key, Delete: true}})
		}
	}
	return nil
}

func (s *memStore) Watch(ctx context.Context, prefix string, after int64) (<-chan port.WatchEvent, error) {
	events := make(chan port.WatchEvent)
	select {
	case s.watched <- struct{}{}:
	default:
	}
	go func() {
		defer close(events)
		if s.refuseCompacted(after) {
			deliverTo(ctx, events, port.WatchEvent{Err: &port.StoreError{Call: "Watch", Kind: port.StoreCompacted}})
			return
		}
		for {
			s.mu.Lock()
			news, changed := s.history, s.changed
			s.mu.Unlock()
			for _, ev := range news {
				if ev.Revision <= after || !strings.HasPrefix(ev.KeyValue.Key, prefix) {
					continue
				}
				if !deliverTo(ctx, events, ev) {
					return
				}
			}
			if len(news) > 0 {
				after = max(after, news[len(news)-1].Revision)
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return events, nil
}

// deliverTo sends an event to a watch. It returns false if the watch has ended.
func deliverTo(ctx context.Context, events chan<- port.WatchEvent, ev port.WatchEvent) bool {
	select {
	case events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}
