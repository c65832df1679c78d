package store

import (
	"sync"
	"time"
)

// ManualClock is a port.Clock that a test moves. It is safe for concurrent
// use.
type ManualClock struct {
	mu  sync.Mutex
	now time.Time
}

// NewManualClock returns a clock that shows the given time.
func NewManualClock(now time.Time) *ManualClock { return &ManualClock{now: now} }

// Now implements port.Clock.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
