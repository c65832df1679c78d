package store

import (
	"maps"
	"sync"

	"golang.org/x/time/rate"

	"google.golang.org/grpc/codes"

	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	"github.com/guavarill/guavarill/port"
)

// Method is a method of the store's API.
type Method string

// The methods served.
const (
	MethodRange           Method = "Range"
	MethodPut             Method = "Put"
	MethodDeleteRange     Method = "DeleteRange"
	MethodTxn             Method = "Txn"
	MethodLeaseGrant      Method = "LeaseGrant"
	MethodLeaseRevoke     Method = "LeaseRevoke"
	MethodLeaseKeepAlive  Method = "LeaseKeepAlive"
	MethodLeaseTimeToLive Method = "LeaseTimeToLive"
	MethodWatch           Method = "Watch"
)

// Mutates reports whether a call of the method changes the store.
func (m Method) Mutates() bool {
	switch m {
	case MethodRange, MethodWatch, MethodLeaseTimeToLive:
		return false
	default:
		return true
	}
}

// meter counts the calls and refuses those that exceed the configured rates.
type meter struct {
	clock  port.Clock
	reads  *rate.Limiter
	writes *rate.Limiter

	mu     sync.Mutex
	counts map[Method]int
}

func newMeter(o *Options) *meter {
	return &meter{
		clock:  o.Clock,
		reads:  limiter(o.ReadsPerSecond),
		writes: limiter(o.WritesPerSecond),
		counts: make(map[Method]int),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// count counts one call, and refuses it if it exceeds the rate.
func (m *meter) count(method Method) error {
	m.mu.Lock()
	m.counts[method]++
	m.mu.Unlock()
	l := m.reads
	if method.Mutates() {
		l = m.writes
	}
	if l.AllowN(m.clock.Now(), 1) {
		return nil
	}
	return &etcdwire.Refusal{Code: codes.ResourceExhausted, Text: etcdwire.TextTooManyRequests}
}

func (m *meter) snapshot() map[Method]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.counts)
}

func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.counts)
}
