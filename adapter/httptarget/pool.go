package httptarget

import (
	"context"
	"slices"
	"sync"
	"time"
)

// pool is the connections to one address.
type pool struct {
	t       *Target
	address string

	mu    sync.Mutex
	limit int
	// open counts connections that stand or are being made.
	open int
	// idle holds unused connections, the one that came back last at the end.
	idle []*conn
	// waiting are exchanges that wait for a connection, first come first. Each
	// channel takes one conn, or nil when there is room to make one.
	waiting []chan *conn
	// distrust is when a silence was found: connections last proven before it
	// are not used again.
	distrust time.Time
	probe    *probe
}

// wanted is what an exchange asks of its connection.
type wanted struct {
	fresh         bool
	nonIdempotent bool
}

// acquire returns a connection, an idle one or a new one, and whether it was
// used before.
func (p *pool) acquire(ctx context.Context, w wanted) (*conn, bool, error) {
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

// take returns an idle connection, or true when the caller is to make one, or
// a channel to wait on.
func (p *pool) take(w wanted) (*conn, bool, chan *conn, error) {
	var stale []*conn
	defer func() { closeAll(stale) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit == 0 {
		return nil, false, nil, faultNoShare
	}
	now := time.Now()
	stale = p.pruneLocked(now)
	if c := p.newestLocked(now, w); c != nil {
		return c, false, nil, nil
	}
	if p.open-len(stale) >= p.limit && len(p.idle) > 0 {
		// The oldest makes room for a new one.
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

// newestLocked takes the idle connection that was proven last, if it will do.
func (p *pool) newestLocked(now time.Time, w wanted) *conn {
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

// await waits for a turn. Neither a connection nor an error means that there
// may be room to make one.
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
	p.leave(turn)
	return nil, err
}

// leave gives up a turn, and passes on what came at the same moment: a
// connection kept by an exchange that is over would count against the limit
// for good.
func (p *pool) leave(turn chan *conn) {
	p.mu.Lock()
	if i := slices.Index(p.waiting, turn); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	if c := <-turn; c != nil {
		if !p.put(c) {
			c.close()
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeLocked()
}

// put takes back a connection after a whole answer. False: it is not wanted
// any more and must be closed.
func (p *pool) put(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed.Load() || p.open > p.limit || c.proven.Before(p.distrust) {
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

// closed counts a connection out.
func (p *pool) closed(c *conn) {
	p.mu.Lock()
	p.open--
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	p.wakeLocked()
	p.mu.Unlock()
}

// wakeLocked lets the first waiter make a connection, if there is room.
func (p *pool) wakeLocked() {
	if len(p.waiting) == 0 || p.open >= p.limit && p.limit > 0 {
		return
	}
	turn := p.waiting[0]
	p.waiting = p.waiting[1:]
	turn <- nil
}

// pruneLocked takes out the idle connections that were unused for too long, or
// that a silence put in doubt; the caller closes them.
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
	return now.Sub(c.proven) > p.t.o.IdleMax || c.proven.Before(p.distrust)
}

func (p *pool) prune(now time.Time) {
	p.mu.Lock()
	stale := p.pruneLocked(now)
	p.mu.Unlock()
	closeAll(stale)
}

// setLimit changes the most connections that may be open, and returns those
// that the caller is to close.
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

// unused reports whether the pool can be dropped.
func (p *pool) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit == 0 && p.open == 0
}

// dialFailed counts out a connection that could not be made.
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
