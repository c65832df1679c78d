package platform

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Store is a key-value store with leases and watches.
type Store struct {
	mu       sync.Mutex
	revision int64
	nextID   int64
	items    map[string]*Item
	history  []Event
	leases   map[int64]*lease
	// changed is closed and made anew with each change.
	changed chan struct{}
	// refuse, when not 0, is the status that every call is answered with.
	refuse int
	calls  int
	// writes and reads bound the calls of each kind, nil if nothing does.
	writes, reads *rate.Limiter
	// lateness, when not nil, returns how late a transaction that sets the keys is
	// carried out, without a response; lateResults are the statuses of those that were.
	lateness    func(keys []string) time.Duration
	lateResults []int
}

// Item is a stored key.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease,omitempty"`
}

// Event is a change that a watch tells.
type Event struct {
	Item
	Deleted bool `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1, items: make(map[string]*Item), leases: make(map[int64]*lease), changed: make(chan struct{}),
	}
}

// Refuse makes the store answer every call with a status; 0 ends it.
func (s *Store) Refuse(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = status
}

// LimitRate makes the store answer with 429 what goes beyond so many writes or reads a
// second, of all daemons together.
func (s *Store) LimitRate(writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = rate.NewLimiter(rate.Limit(writes), writes)
	s.reads = rate.NewLimiter(rate.Limit(reads), reads)
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key as the operator does.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutBytes(key, data)
}

// PutBytes writes a key with any bytes, as whoever may write there can.
func (s *Store) PutBytes(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.notify()
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// Keys returns the keys that begin with prefix, in order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys(prefix)
}

// Value returns the value of a key, nil if there is none.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item := s.items[key]; item != nil {
		return item.Value
	}
	return nil
}

func (s *Store) keys(prefix string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Store) put(key string, value []byte, lease int64) {
	item := &Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old := s.items[key]; old != nil {
		item.Created = old.Created
	}
	s.items[key] = item
	s.history = append(s.history, Event{Item: *item})
}

func (s *Store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, Event{Item: Item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) since(prefix string, after int64) ([]Event, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	var events []Event
	for _, ev := range s.history[from:] {
		if strings.HasPrefix(ev.Key, prefix) {
			events = append(events, ev)
		}
	}
	return events, s.revision, s.changed
}

func (s *Store) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// EndLeaseOf ends the lease that a key hangs on, as when its time runs out.
func (s *Store) EndLeaseOf(key string) {
	s.mu.Lock()
	id := int64(0)
	if item := s.items[key]; item != nil {
		id = item.Lease
	}
	s.mu.Unlock()
	s.endLease(id)
}
