package httpguard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"
)

// Options configure a Guard.
type Options struct {
	// MemoryBytes is what requests that are being read may take together.
	MemoryBytes int64
	// WorkPerSecond is how many bytes of large requests are read and decoded a second.
	WorkPerSecond float64
	// Limits returns the limits in force. They apply to open connections too.
	Limits func() Limits
	Log    *logrus.Logger
	// Registerer is where the metrics are registered; nil for nowhere.
	Registerer prometheus.Registerer
}

// Guard bounds what the clients of all servers of a process take. It is safe for concurrent
// use.
type Guard struct {
	limits func() Limits
	memory *memory
	work   work
	// turns are those of busy connections.
	turns   *semaphore.Weighted
	refused *refusals
	began   time.Time
	// skipped is the time, in nanoseconds, in which the process did not run.
	skipped atomic.Int64

	mu      sync.Mutex
	servers []*Server
}

// New returns a Guard. Its limits on time hold while Run runs.
func New(o Options) *Guard {
	return &Guard{
		limits: o.Limits, memory: newMemory(o.MemoryBytes), work: newWork(o.WorkPerSecond), turns: semaphore.NewWeighted(busyRequests), refused: newRefusals(o.Log, o.Registerer), began: time.Now(),
	}
}

// take takes memory for a request of which a connection is to hold size bytes, when the
// request has its turn. It returns false if it is refused.
func (g *Guard) take(c *conn, size int64) bool {
	return g.work.take(g.memory.heldBy(c), size) && g.memory.resize(c, size)
}

// currentLimits returns the limits in force.
func (g *Guard) currentLimits() Limits { return g.limits().withDefaults() }

// now returns the time since the guard was made, without the time in which the process did
// not run: clients are not to blame for that.
func (g *Guard) now() time.Duration {
	return time.Since(g.began) - time.Duration(g.skipped.Load())
}

const (
	// checkInterval is the time between two checks of all connections.
	checkInterval = 500 * time.Millisecond
	// maxCheckGap is the longest time between two checks that counts as time.
	maxCheckGap = 2 * checkInterval
)

// Run closes connections whose time is up, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	checked := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.noteGap(time.Since(checked))
		checked = time.Now()
		g.check()
	}
}

// noteGap notes the time between two checks.
func (g *Guard) noteGap(gap time.Duration) {
	if gap > maxCheckGap {
		g.skipped.Add(int64(gap - maxCheckGap))
	}
}

// check closes the connections whose time is up.
func (g *Guard) check() {
	limits, now := g.currentLimits(), g.now()
	g.mu.Lock()
	servers := g.servers
	g.mu.Unlock()
	for _, s := range servers {
		for _, c := range s.connections() {
			c.check(now, limits)
		}
	}
	g.refused.log()
}
