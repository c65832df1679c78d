package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	refuse := s.refuse
	s.calls++
	if refuse == 0 && !s.isWithinRate(r) {
		refuse = http.StatusTooManyRequests
	}
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

// isWithinRate reports whether a call is within the rate of its kind. s.mu is held.
func (s *Store) isWithinRate(r *http.Request) bool {
	limiter := s.reads
	switch {
	case r.URL.Path == "/kv-txn":
		limiter = s.writes
	case r.Method != http.MethodGet, r.URL.Query().Get("serializable") == "1":
		return true
	}
	return limiter == nil || limiter.Allow()
}

// The calls below answer without holding the lock: a caller that takes its answer
// slowly, or not at all, holds up nobody else. Stored items are never changed.

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	item, revision := s.item(r.URL.Query().Get("key"))
	if item == nil {
		answer(w, http.StatusNotFound, revisionBody{StoreRevision: revision})
		return
	}
	answer(w, http.StatusOK, struct {
		*Item
		StoreRevision int64 `json:"storeRevision"`
	}{item, revision})
}

// item returns the item of a key, nil if there is none, and the store's revision.
func (s *Store) item(key string) (*Item, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key], s.revision
}

type revisionBody struct {
	StoreRevision int64 `json:"storeRevision"`
}

// pageItems is how many items a page has.
const pageItems = 500

// rangeBody is a page of a list.
type rangeBody struct {
	Items         []*Item `json:"items"`
	MorePages     bool    `json:"morePages"`
	StoreRevision int64   `json:"storeRevision"`
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	answer(w, http.StatusOK, s.page(query.Get("prefix"), query.Get("after")))
}

// page returns the first page of the keys that begin with prefix and come after a key.
func (s *Store) page(prefix, after string) rangeBody {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := rangeBody{StoreRevision: s.revision}
	for _, key := range s.keys(prefix) {
		if key <= after {
			continue
		}
		if len(body.Items) == pageItems {
			body.MorePages = true
			break
		}
		body.Items = append(body.Items, s.items[key])
	}
	return body
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

// maxEntries bounds the entries of a transaction.
const maxEntries = 32

// transaction is the body of a transaction: its changes are made if all
// revisions are as expected, 0 being that of a key that is not there.
type transaction struct {
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

func (t *transaction) entries() int { return len(t.Expected) + len(t.SetKeys) + len(t.Remove) }

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn transaction
	if json.NewDecoder(r.Body).Decode(&txn) != nil || txn.entries() > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if delay := s.delay(&txn); delay > 0 {
		s.loseResponse(r, &txn, delay)
	}
	revision, refused := s.commit(&txn)
	if refused != 0 {
		w.WriteHeader(refused)
		return
	}
	answer(w, http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{revision})
}

// commit makes the changes of a transaction and returns their revision, or the status
// with which it is refused.
func (s *Store) commit(txn *transaction) (revision int64, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.check(txn); refused != 0 {
		return 0, refused
	}
	s.apply(txn)
	return s.revision, 0
}

// check returns the status with which a transaction is refused, 0 when it is
// not.
func (s *Store) check(txn *transaction) int {
	for _, e := range txn.Expected {
		revision := int64(0)
		if item := s.items[e.Key]; item != nil {
			revision = item.Revision
		}
		if revision != e.Revision {
			return http.StatusPreconditionFailed
		}
	}
	for _, p := range txn.SetKeys {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound
		}
	}
	return 0
}

// apply makes the changes of a transaction at one new revision.
func (s *Store) apply(txn *transaction) {
	s.revision++
	for _, p := range txn.SetKeys {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	s.notify()
}

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
	answer(w, http.StatusOK, leaseBody{Lease: s.grant(time.Duration(body.TTLMs) * time.Millisecond), TTLMs: body.TTLMs})
}

// grant makes a lease.
func (s *Store) grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return id
}

func (s *Store) serveKeep(w http.ResponseWriter, id string) {
	ttl, found := s.keep(number(id))
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, leaseBody{TTLMs: ttl.Milliseconds()})
}

// keep renews a lease and returns its length, and whether there is one.
func (s *Store) keep(id int64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0, false
	}
	l.timer.Reset(l.ttl)
	return l.ttl, true
}

func (s *Store) serveEnd(w http.ResponseWriter, id string) {
	s.endLease(number(id))
	w.WriteHeader(http.StatusOK)
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
