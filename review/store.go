package review

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	standin "github.com/guavarill/guavarill/standin/platform"
)

// Store is the platform's store. It can leave writes without an answer and carry
// them out later, as the page on the store allows.
type Store struct {
	*standin.Store
	record *Record
	server *httptest.Server

	mu sync.Mutex
	// lose chooses the writes that get no answer; nil chooses none.
	lose func(keys []string) bool
	// late is how long after its arrival such a write is carried out.
	late time.Duration
	// refusals counts the writes with a value that is too large.
	refusals int
}

// NewStore starts a store at an address of its own.
func NewStore(record *Record) *Store {
	s := &Store{Store: standin.NewStore(), record: record}
	s.server = httptest.NewServer(s)
	return s
}

// Address returns the store's host:port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// LoseWrites leaves the writes that choose picks without an answer, and carries
// each out after the given time. With nil it answers all writes again.
func (s *Store) LoseWrites(late time.Duration, choose func(keys []string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose, s.late = choose, late
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/kv-txn" {
		s.Store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	keys, largest := writtenKeys(body)
	if largest > maxValue {
		s.noteRefusal(keys, largest)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	lose, late := s.lose, s.late
	s.mu.Unlock()
	if lose != nil && lose(keys) {
		s.record.Add("store: write of %v arrives; it gets no answer and is carried out %s later if its condition still holds", keys, late)
		time.AfterFunc(late, func() {
			s.record.Add("store: late write of %v: status %d", keys, s.carryOut(body))
		})
		// Nothing more comes on this channel.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.Store.ServeHTTP(w, r)
}

// refusalsNoted is how many refused writes stand in the record one by one.
const refusalsNoted = 5

// noteRefusal records that a write was refused: the first ones, then each hundredth.
func (s *Store) noteRefusal(keys []string, size int) {
	s.mu.Lock()
	s.refusals++
	n := s.refusals
	s.mu.Unlock()
	if n <= refusalsNoted || n%100 == 0 {
		s.record.Add("store: write of %v is refused (number %d): a value of %d bytes is larger than valueBytes", keys, n, size)
	}
}

// carryOut makes a write of which nobody hears, and returns its status.
func (s *Store) carryOut(body []byte) int {
	answer := httptest.NewRecorder()
	s.Store.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/kv-txn", bytes.NewReader(body)))
	return answer.Code
}

// maxValue is the setting platform.valueBytes.
const maxValue = 1 << 20

// writtenKeys returns the keys that a transaction sets, and the size of the largest
// value.
func writtenKeys(body []byte) (keys []string, largest int) {
	var txn struct {
		SetKeys []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"setKeys"`
	}
	if json.Unmarshal(body, &txn) != nil {
		return nil, 0
	}
	for _, k := range txn.SetKeys {
		keys = append(keys, k.Key)
		largest = max(largest, len(k.Value))
	}
	return keys, largest
}

// freePort reports whether nothing listens at an address.
func freePort(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
