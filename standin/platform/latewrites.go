package platform

import (
	"net/http"
	"time"
)

// LateWrites leaves the transactions without a response for which lateness returns more
// than 0, and carries each of them out after that time if its conditions still hold
// then. lateness is given the keys that the transaction sets; nil ends it.
func (s *Store) LateWrites(lateness func(keys []string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateness = lateness
}

// LateResults returns the statuses that the late transactions carried out so far would
// have had.
func (s *Store) LateResults() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int(nil), s.lateResults...)
}

// delay returns how late a transaction is carried out, 0 if at once.
func (s *Store) delay(txn *transaction) time.Duration {
	s.mu.Lock()
	lateness := s.lateness
	s.mu.Unlock()
	if lateness == nil {
		return 0
	}
	var keys []string
	for _, p := range txn.SetKeys {
		keys = append(keys, p.Key)
	}
	return lateness(keys)
}

// loseResponse carries a transaction out after a delay, and gives no response to it nor
// to anything else on its connection.
func (s *Store) loseResponse(r *http.Request, txn *transaction, delay time.Duration) {
	time.AfterFunc(delay, func() {
		status := http.StatusOK
		if _, refused := s.commit(txn); refused != 0 {
			status = refused
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lateResults = append(s.lateResults, status)
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
