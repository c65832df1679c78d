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
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.commit(&txn); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	answer(w, http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{s.revision})
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
