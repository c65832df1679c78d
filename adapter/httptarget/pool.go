package httptarget

import (
	"context"
	"slices"
	"sync"
	"time"
)

// pool holds the connections to one address.
type pool struct {
	t       *Target
	address string

	mu    sync.Mutex
	limit int
	// open counts connections that are established or being made.
	open int
	// idle holds unused connections in the order in which they were returned,
	// the latest last.
	idle []*conn
	// waiting is the FIFO queue of exchanges that wait for a connection. Each
	// channel receives one value: a conn, or nil when the exchange is to try
	// again, since there may be room to make one.
	waiting []chan *conn
	// trustSince is the time from which proofs count: connections last proven
	// before it are not used again.
	trustSince time.Time
	probe      *probe
}

// connRequirements describes which connections an exchange accepts.
type connRequirements struct {
	fresh         bool
	nonIdempotent bool
}

// acquire returns an idle or a new connection, and whether it came from the
// pool. It waits up to ConnectionWait when all connections are in use.
func (p *pool) acquire(ctx context.Context, w connRequirements) (*conn, bool, error) {
	var timeout <-chan time.Time
	for {
		c, dial, turn, err := p.take(w)
		if err != nil {
			return nil, false, err
		}
		if c != nil {
			return c, true, nil
		}
		if dial {
			c, err := p.dial(ctx)
			return c, false, err
		}
		if timeout == nil {
			timer := time.NewTimer(p.t.o.ConnectionWait)
			defer timer.Stop()
			timeout = timer.C
		}
		c, err = p.await(ctx, turn, timeout)
		if err != nil {
			return nil, false, err
		}
		if c != nil {
			return c, true, nil
		}
	}
}

// take returns an idle connection, or true if the caller is to dial a new one,
// or a channel to wait on. In the second case the new connection is already
// counted in p.open.
func (p *pool) take(w connRequirements) (*conn, bool, chan *conn, error) {
	var stale []*conn
	defer func() { closeAll(stale) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit == 0 {
		return nil, false, nil, faultNoShare
	}
	now := time.Now()
	stale = p.pruneLocked(now)
	if c := p.takeNewestLocked(now, w); c != nil {
		return c, false, nil, nil
	}
	if p.open-len(stale) >= p.limit && len(p.idle) > 0 {
		// Close the oldest idle connection to make room for a new one.
		stale = append(stale, p.idle[0])
		p.idle = p.idle[1:]
	}
	if p.open-len(stale) < p.limit {
		p.open++
		return nil, true, nil, nil
	}
	turn := make(chan *conn, 1)
	p.waiting = append(p.waiting, turn)
	return nil, false, turn, nil
}

// takeNewestLocked removes and returns the idle connection that was returned
// last. It returns nil if there is none or if that one does not meet w.
func (p *pool) takeNewestLocked(now time.Time, w connRequirements) *conn {
	n := len(p.idle)
	if n == 0 || w.fresh {
		return nil
	}
	c := p.idle[n-1]
	if w.nonIdempotent && now.Sub(c.proven) > p.t.o.ProvenWithin {
		return nil
	}
	p.idle = p.idle[:n-1]
	return c
}

// await waits for a value on turn. If it returns neither a connection nor an
// error, there may be room to make a connection.
func (p *pool) await(ctx context.Context, turn chan *conn, timeout <-chan time.Time) (*conn, error) {
	var err error
	select {
	case c := <-turn:
		return c, nil
	case <-timeout:
		err = faultNoneFree
	case <-ctx.Done():
		err = ctx.Err()
	}
	p.abandonTurn(turn)
	return nil, err
}

// abandonTurn removes turn from the queue. If a connection was delivered to it
// at the same moment, abandonTurn passes it on: a connection kept by an
// exchange that has ended would count against the limit permanently.
func (p *pool) abandonTurn(turn chan *conn) {
	p.mu.Lock()
	if i := slices.Index(p.waiting, turn); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	if c := <-turn; c != nil {
		if !p.release(c) {
			c.close()
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeLocked()
}

// release returns a connection to the pool after a whole response, or hands it to
// the first waiting exchange. It returns false if the connection must be closed
// because it is closed already, above the limit or no longer trusted.
func (p *pool) release(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed.Load() || p.open > p.limit || c.proven.Before(p.trustSince) {
		return false
	}
	if len(p.waiting) > 0 {
		turn := p.waiting[0]
		p.waiting = p.waiting[1:]
		turn <- c
		return true
	}
	p.idle = append(p.idle, c)
	return true
}

// removeClosed removes a closed connection from the pool and from the count.
func (p *pool) removeClosed(c *conn) {
	p.mu.Lock()
	p.open--
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	p.wakeLocked()
	p.mu.Unlock()
}

// wakeLocked wakes the first waiting exchange if there is room for a connection,
// or if the limit is 0 and waiting is of no use.
func (p *pool) wakeLocked() {
	if len(p.waiting) == 0 || p.open >= p.limit && p.limit > 0 {
		return
	}
	turn := p.waiting[0]
	p.waiting = p.waiting[1:]
	turn <- nil
}

// pruneLocked removes and returns the idle connections that were last proven
// more than IdleMax ago or before trustSince. The caller closes them.
func (p *pool) pruneLocked(now time.Time) []*conn {
	var stale []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.staleLocked(now, c) {
			stale = append(stale, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return stale
}

func (p *pool) staleLocked(now time.Time, c *conn) bool {
	return now.Sub(c.proven) > p.t.o.IdleMax || c.proven.Before(p.trustSince)
}

func (p *pool) prune(now time.Time) {
	p.mu.Lock()
	stale := p.pruneLocked(now)
	p.mu.Unlock()
	closeAll(stale)
}

// setLimit sets the maximum number of open connections. It returns the idle
// connections above it, which the caller closes.
func (p *pool) setLimit(limit int) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	var excess []*conn
	if n := min(p.open-limit, len(p.idle)); n > 0 {
		excess = slices.Clone(p.idle[:n])
		p.idle = p.idle[n:]
	}
	for _, turn := range p.waiting {
		turn <- nil
	}
	p.waiting = nil
	return excess
}

// isUnused reports whether the pool has no connections and allows none.
func (p *pool) isUnused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit == 0 && p.open == 0
}

// dialFailed removes a connection that could not be made from the count.
func (p *pool) dialFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wakeLocked()
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}
