package platform

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
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

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	refuse := s.refuse
	s.calls++
	s.mu.Unlock()
	if refuse != 0 {
		w.WriteHeader(refuse)
		return
	}
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.serveKey(w, r)
	case path == "/kv-range":
		s.serveRange(w, r)
	case path == "/kv-watch":
		s.serveWatch(w, r)
	case path == "/kv-txn":
		s.serveTxn(w, r)
	case path == "/kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.serveEnd(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.items[r.URL.Query().Get("key")]
	if item == nil {
		answer(w, http.StatusNotFound, revisionBody{StoreRevision: s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		*Item
		StoreRevision int64 `json:"storeRevision"`
	}{item, s.revision})
}

type revisionBody struct {
	StoreRevision int64 `json:"storeRevision"`
}

// pageItems is how many items a page has.
const pageItems = 500

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var body struct {
		Items         []*Item `json:"items"`
		MorePages     bool    `json:"morePages"`
		StoreRevision int64   `json:"storeRevision"`
	}
	body.StoreRevision = s.revision
	for _, key := range s.keys(r.URL.Query().Get("prefix")) {
		if key <= r.URL.Query().Get("after") {
			continue
		}
		if len(body.Items) == pageItems {
			body.MorePages = true
			break
		}
		body.Items = append(body.Items, s.items[key])
	}
	answer(w, http.StatusOK, body)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after := number(query.Get("after"))
	wait := time.NewTimer(time.Duration(number(query.Get("waitMs"))) * time.Millisecond)
	defer wait.Stop()
	var body struct {
		Events        []Event `json:"events"`
		StoreRevision int64   `json:"storeRevision"`
	}
	for {
		var changed chan struct{}
		body.Events, body.StoreRevision, changed = s.since(query.Get("prefix"), after)
		if len(body.Events) > 0 {
			break
		}
		select {
		case <-changed:
			continue
		case <-wait.C:
		case <-r.Context().Done():
		}
		break
	}
	answer(w, http.StatusOK, body)
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

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		SetKeys []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"setKeys"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expected)+len(body.SetKeys)+len(body.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		revision := int64(0)
		if item := s.items[e.Key]; item != nil {
			revision = item.Revision
		}
		if revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range body.SetKeys {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range body.SetKeys {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.notify()
	answer(w, http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{s.revision})
}

// maxEntries bounds the entries of a transaction.
const maxEntries = 32

type leaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMs int64 `json:"ttlMs"`
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	answer(w, http.StatusOK, leaseBody{Lease: id, TTLMs: body.TTLMs})
}

func (s *Store) serveKeep(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[number(id)]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	answer(w, http.StatusOK, leaseBody{TTLMs: l.ttl.Milliseconds()})
}

func (s *Store) serveEnd(w http.ResponseWriter, id string) {
	s.endLease(number(id))
	w.WriteHeader(http.StatusOK)
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

func number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		// The caller has gone.
		return
	}
}
