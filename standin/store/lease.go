package store

import (
	"slices"
	"time"

	"google.golang.org/grpc/codes"

	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
)

// firstLeaseID is large, so that lease ids differ from revisions in tests' output.
const firstLeaseID = 1_000_000

type lease struct {
	id      int64
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

var errLeaseNotFound = &etcdwire.Refusal{Code: codes.NotFound, Text: etcdwire.TextLeaseNotFound}

func (s *state) grant(req *etcdv3.LeaseGrantRequest) *etcdv3.LeaseGrantResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.nextID++
	ttl := time.Duration(req.TTL) * time.Second
	l := &lease{id: firstLeaseID + s.nextID, ttl: ttl, keys: make(map[string]struct{})}
	l.expires = s.o.Clock.Now().Add(ttl)
	s.leases[l.id] = l
	return &etcdv3.LeaseGrantResponse{Header: s.header(), ID: l.id, TTL: req.TTL}
}

// renew renews a lease. The returned time to live is 0 if the lease has ended.
func (s *state) renew(id int64) *etcdv3.LeaseKeepAliveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	resp := &etcdv3.LeaseKeepAliveResponse{Header: s.header(), ID: id}
	if l := s.leases[id]; l != nil {
		l.expires = s.o.Clock.Now().Add(l.ttl)
		resp.TTL = int64(l.ttl / time.Second)
	}
	return resp
}

func (s *state) revoke(id int64) (*etcdv3.LeaseRevokeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.leases[id] == nil {
		return nil, errLeaseNotFound
	}
	s.endLease(id)
	return &etcdv3.LeaseRevokeResponse{Header: s.header()}, nil
}

// timeToLive returns the remaining time of a lease, which is -1 if it has ended.
func (s *state) timeToLive(req *etcdv3.LeaseTimeToLiveRequest) *etcdv3.LeaseTimeToLiveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	resp := &etcdv3.LeaseTimeToLiveResponse{Header: s.header(), ID: req.ID, TTL: -1}
	l := s.leases[req.ID]
	if l == nil {
		return resp
	}
	resp.TTL = int64(l.expires.Sub(s.o.Clock.Now()) / time.Second)
	resp.GrantedTTL = int64(l.ttl / time.Second)
	if req.Keys {
		for _, key := range l.sortedKeys() {
			resp.Keys = append(resp.Keys, []byte(key))
		}
	}
	return resp
}

func (l *lease) sortedKeys() []string {
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// moveLease detaches a key from the lease of its old value and attaches it to the
// lease of its new value.
func (s *state) moveLease(prev, next *etcdv3.KeyValue) {
	if l := s.leases[prev.GetLease()]; prev != nil && l != nil {
		delete(l.keys, string(prev.Key))
	}
	if l := s.leases[next.GetLease()]; next != nil && l != nil {
		l.keys[string(next.Key)] = struct{}{}
	}
}

// endLease deletes a lease and, in one revision, its keys.
func (s *state) endLease(id int64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	c := s.begin()
	for _, key := range l.sortedKeys() {
		c.deleteRange([]byte(key), nil)
	}
	delete(s.leases, id)
	c.commit()
}

// expire ends the expired leases, in the order of their ids.
func (s *state) expire() {
	if s.leasesHeld {
		return
	}
	now := s.o.Clock.Now()
	var over []int64
	for id, l := range s.leases {
		if !l.expires.After(now) {
			over = append(over, id)
		}
	}
	slices.Sort(over)
	for _, id := range over {
		s.endLease(id)
	}
}

func (s *state) extendLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Clock.Now()
	for _, l := range s.leases {
		l.expires = now.Add(l.ttl)
	}
}

// holdLeases sets whether leases are kept from expiring.
func (s *state) holdLeases(held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leasesHeld = held
}

func (s *state) lapse(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return false
	}
	s.endLease(id)
	return true
}

func (s *state) lapseOf(key string) bool {
	s.mu.Lock()
	id := s.lookup([]byte(key)).GetLease()
	s.mu.Unlock()
	return s.lapse(id)
}
