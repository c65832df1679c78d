package store

import (
	"bytes"
	"sync"

	"github.com/google/btree"

	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
)

const btreeDegree = 16

// firstRevision is the service's revision before any change.
const firstRevision = 1

// state is the store's contents. Key values are replaced, never changed, so
// that answers can be encoded without the lock.
type state struct {
	o Options

	mu       sync.Mutex
	revision int64
	keys     *btree.BTreeG[*etcdv3.KeyValue]
	leases   map[int64]*lease
	nextID   int64
	// leasesHeld is whether leases are kept from expiring.
	leasesHeld bool
	history    history
	// observers are called, with the lock held, when the history has grown.
	observers []func()
}

func newState(o Options) *state {
	return &state{
		o:        o,
		revision: firstRevision,
		keys:     btree.NewG(btreeDegree, lessKey),
		leases:   make(map[int64]*lease),
		history:  history{keep: o.History, changed: make(chan struct{})},
	}
}

func lessKey(a, b *etcdv3.KeyValue) bool { return bytes.Compare(a.Key, b.Key) < 0 }

func (s *state) header() *etcdv3.ResponseHeader {
	return &etcdv3.ResponseHeader{ClusterId: 1, MemberId: 1, Revision: s.revision, RaftTerm: 1}
}

func (s *state) lookup(key []byte) *etcdv3.KeyValue {
	kv, _ := s.keys.Get(&etcdv3.KeyValue{Key: key})
	return kv
}

// between returns the keys in [key, end) in order, or only key if end is empty.
func (s *state) between(key, end []byte) []*etcdv3.KeyValue {
	if len(end) == 0 {
		if kv := s.lookup(key); kv != nil {
			return []*etcdv3.KeyValue{kv}
		}
		return nil
	}
	var found []*etcdv3.KeyValue
	s.keys.AscendGreaterOrEqual(&etcdv3.KeyValue{Key: key}, func(kv *etcdv3.KeyValue) bool {
		if !inRange(kv.Key, key, end) {
			return false
		}
		found = append(found, kv)
		return true
	})
	return found
}

// inRange reports whether k is in [key, end). An end of a single zero byte means no
// upper bound, an empty end only key itself.
func inRange(k, key, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(k, key)
	}
	if bytes.Compare(k, key) < 0 {
		return false
	}
	unbounded := len(end) == 1 && end[0] == 0
	return unbounded || bytes.Compare(k, end) < 0
}

// change collects the changes of one revision.
type change struct {
	s        *state
	revision int64
	events   []*etcdv3.Event
}

func (s *state) begin() *change { return &change{s: s, revision: s.revision + 1} }

func (c *change) put(req *etcdv3.PutRequest) *etcdv3.KeyValue {
	prev := c.s.lookup(req.Key)
	kv := &etcdv3.KeyValue{
		Key: req.Key, Value: req.Value, Lease: req.Lease,
		CreateRevision: c.revision, ModRevision: c.revision, Version: 1,
	}
	if prev != nil {
		kv.CreateRevision = prev.CreateRevision
		kv.Version = prev.Version + 1
	}
	c.s.moveLease(prev, kv)
	c.s.keys.ReplaceOrInsert(kv)
	c.events = append(c.events, &etcdv3.Event{Type: etcdv3.Event_PUT, Kv: kv})
	return prev
}

func (c *change) deleteRange(key, end []byte) []*etcdv3.KeyValue {
	gone := c.s.between(key, end)
	for _, kv := range gone {
		c.s.moveLease(kv, nil)
		c.s.keys.Delete(kv)
		tombstone := &etcdv3.KeyValue{Key: kv.Key, ModRevision: c.revision}
		c.events = append(c.events, &etcdv3.Event{Type: etcdv3.Event_DELETE, Kv: tombstone})
	}
	return gone
}

// commit creates the revision, unless nothing was changed.
func (c *change) commit() {
	if len(c.events) == 0 {
		return
	}
	c.s.revision = c.revision
	c.s.history.add(c.revision, c.events)
	c.s.tellObservers()
}

func (s *state) tellObservers() {
	for _, observe := range s.observers {
		observe()
	}
}
