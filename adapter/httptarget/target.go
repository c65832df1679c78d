package httptarget

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/traffic"
)

// pruneEvery is the number of times in one IdleMax that the pools are checked
// for idle connections to close.
const pruneEvery = 4

// Target sends requests to targets over HTTP/1.1. It is safe for concurrent use.
type Target struct {
	o         Options
	dialer    net.Dialer
	transport *http.Transport
	metrics   *metrics

	mu    sync.Mutex
	pools map[string]*pool

	stop    chan struct{}
	stopped sync.WaitGroup
	once    sync.Once
}

// New returns a Target without connections. The caller must call Close to release
// its connections and stop its goroutine.
func New(o Options) *Target {
	o = o.withDefaults()
	t := &Target{
		o: o,
		dialer: net.Dialer{
			Timeout: o.ConnectTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     o.KeepAliveIdle,
				Interval: o.KeepAliveEvery,
				Count:    o.KeepAliveCount,
			},
		},
		metrics: newMetrics(o.Registerer),
		pools:   make(map[string]*pool),
		stop:    make(chan struct{}),
	}
	t.transport = newTransport(o)
	t.stopped.Add(1)
	go t.pruneLoop()
	return t
}

func newTransport(o Options) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		Protocols:              &protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: o.MaxHeadBytes,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return ctx.Value(dialedKey{}).(*conn), nil
		},
	}
}

// dialedKey is the context key under which an established connection is passed
// to net/http.
type dialedKey struct{}

// Limit implements traffic.Target.
func (t *Target) Limit(address string, connections int) {
	closeAll(t.setLimit(address, connections))
}

func (t *Target) setLimit(address string, connections int) []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[address]
	if !ok && connections == 0 {
		return nil
	}
	if !ok {
		p = &pool{t: t, address: address}
		t.pools[address] = p
	}
	return p.setLimit(connections)
}

func (t *Target) pool(address string) (*pool, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[address]
	return p, ok
}

// Open returns how many connections to address are open or being made.
func (t *Target) Open(address string) int {
	p, ok := t.pool(address)
	if !ok {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections and prevents new ones. Exchanges in flight
// finish.
func (t *Target) Close() {
	t.once.Do(func() { close(t.stop) })
	t.stopped.Wait()
	for _, p := range t.allPools() {
		t.Limit(p.address, 0)
	}
}

func (t *Target) allPools() []*pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.pools))
}

func (t *Target) pruneLoop() {
	defer t.stopped.Done()
	ticker := time.NewTicker(max(t.o.IdleMax/pruneEvery, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			t.prune(now)
		case <-t.stop:
			return
		}
	}
}

func (t *Target) prune(now time.Time) {
	for _, p := range t.allPools() {
		p.prune(now)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, p := range t.pools {
		if p.isUnused() {
			delete(t.pools, address)
		}
	}
}

// Do implements traffic.Target. If a pooled connection turns out to be unusable
// before any byte of the request was written, Do retries over a new connection.
// This is safe for any request, and is needed because targets close idle
// connections.
func (t *Target) Do(ctx context.Context, address string, call *traffic.Call) (*traffic.Response, error) {
	p, ok := t.pool(address)
	if !ok {
		return nil, &traffic.ExchangeError{
			Address: address, Stage: fate.BeforeConnect, Reason: fate.ReasonNoConnection, Cause: faultNoShare,
		}
	}
	if !call.TrustSince.IsZero() {
		p.distrustBefore(call.TrustSince)
	}
	w := connRequirements{fresh: call.NewConnection, nonIdempotent: !call.Idempotent}
	for {
		c, used, err := p.acquire(ctx, w)
		if err != nil {
			return nil, connectError(ctx, address, err)
		}
		x := &exchange{t: t, c: c, call: call, used: used}
		resp, failure := x.run(ctx)
		if failure == nil {
			return resp, nil
		}
		if !used || failure.Sent != fate.SentNothing || failure.Stage == fate.NotStarted || ctx.Err() != nil {
			return nil, failure
		}
		t.metrics.stale.Inc()
		w.fresh = true
	}
}
