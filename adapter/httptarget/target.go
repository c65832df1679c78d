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

// pruneEvery is the part of IdleMax after which idle connections are looked
// at.
const pruneEvery = 4

// Target reaches targets over HTTP/1.1. It is safe for concurrent use.
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

// New returns a Target without connections. Close ends it.
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

// dialedKey is the context key under which a connection that stands is handed
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

// Close closes the idle connections and lets no more be made. Exchanges that
// are under way finish.
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
		if p.unused() {
			delete(t.pools, address)
		}
	}
}

// Do implements traffic.Target. A connection from the pool that turns out to
// be closed before anything was written is replaced, which is safe for any
// request, and happens whenever a target closes idle connections.
func (t *Target) Do(ctx context.Context, address string, call *traffic.Call) (*traffic.Response, error) {
	p, ok := t.pool(address)
	if !ok {
		return nil, &traffic.ExchangeError{
			Address: address, Stage: fate.BeforeConnect, Reason: fate.ReasonNoConnection, Cause: faultNoShare,
		}
	}
	if !call.TrustSince.IsZero() {
		p.doubt(call.TrustSince)
	}
	w := wanted{fresh: call.NewConnection, nonIdempotent: !call.Idempotent}
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
