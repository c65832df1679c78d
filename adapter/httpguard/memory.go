package httpguard

import "sync"

// memory is the memory, in bytes, that all requests that are being read may take.
type memory struct {
	mu      sync.Mutex
	limit   int64
	used    int64
	holders map[*conn]int64
}

func newMemory(limit int64) *memory {
	return &memory{limit: limit, holders: make(map[*conn]int64)}
}

const (
	// smallRequest is the size in bytes up to which a request may use all of the memory.
	smallRequest = 64 << 10
	// largeShare is the share of the memory that larger ones may use.
	largeShare = 0.75
)

// limitFor returns up to where a request that holds size may fill the memory.
func (m *memory) limitFor(size int64) int64 {
	if size <= smallRequest {
		return m.limit
	}
	return int64(float64(m.limit) * largeShare)
}

// resize sets what a connection holds, in bytes. If memory runs short, requests that hold
// more than that are given up, the largest first, unless they are complete and being handled.
// It returns false if there are none or if the connection was given up itself; it then holds
// what it held.
func (m *memory) resize(c *conn, size int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.wasGivenUp() {
		return false
	}
	for m.used-m.holders[c]+size > m.limitFor(size) {
		largest := m.largest(c, size)
		if largest == nil {
			return false
		}
		if largest.giveUp(CauseMemory) {
			m.set(largest, 0)
		}
	}
	m.set(c, size)
	return true
}

// largest returns the connection that holds the most of those that hold more than size and
// whose requests may be given up; nil if there is none. m.mu is held.
func (m *memory) largest(except *conn, size int64) *conn {
	var found *conn
	for c, held := range m.holders {
		if c != except && held > size && c.mayGiveUp() {
			found, size = c, held
		}
	}
	return found
}

// set sets what a connection holds. m.mu is held.
func (m *memory) set(c *conn, size int64) {
	m.used += size - m.holders[c]
	if size == 0 {
		delete(m.holders, c)
		return
	}
	m.holders[c] = size
}

// heldBy returns what a connection holds.
func (m *memory) heldBy(c *conn) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holders[c]
}

// release has a connection hold nothing.
func (m *memory) release(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(c, 0)
}
