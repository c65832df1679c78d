package demo

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/guavarill/guavarill/core/fate"
	"github.com/guavarill/guavarill/traffic"
)

// The callers' pace and patience.
const (
	callerCount = 24
	callPause   = 40 * time.Millisecond
	callTimeout = 5 * time.Second
	// maxSends is how often a caller sends one request whose fate is not run.
	maxSends = 5
	// retryPause is how long a caller waits between two sends.
	retryPause = 100 * time.Millisecond
)

// Latencies are recorded from 1 µs to a minute.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// callers send non-idempotent requests through all entries, each request id
// again through another entry while it is told that it was not run.
type callers struct {
	service string
	client  *http.Client

	entriesMu sync.RWMutex
	entries   []string

	mu      sync.Mutex
	fates   map[string]fate.Fate
	reasons map[string]int
	latency *hdrhistogram.Histogram
	resent  atomic.Int64
}

func newCallers(service string) *callers {
	return &callers{
		service: service,
		client:  &http.Client{Timeout: callTimeout},
		fates:   make(map[string]fate.Fate),
		reasons: make(map[string]int),
		latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
	}
}

// setEntries replaces the entries that the balancer offers.
func (c *callers) setEntries(addresses []string) {
	c.entriesMu.Lock()
	defer c.entriesMu.Unlock()
	c.entries = addresses
}

func (c *callers) entry(n int) string {
	c.entriesMu.RLock()
	defer c.entriesMu.RUnlock()
	return c.entries[n%len(c.entries)]
}

// run sends requests until ctx ends.
func (c *callers) run(ctx context.Context) {
	var group sync.WaitGroup
	for n := range callerCount {
		group.Go(func() { c.runOne(ctx, n) })
	}
	group.Wait()
}

func (c *callers) runOne(ctx context.Context, n int) {
	for i := n; ctx.Err() == nil; i++ {
		c.request(i)
		pause(ctx, callPause)
	}
}

// request sends one request until its fate is other than not run.
func (c *callers) request(n int) {
	id := uuid.Must(uuid.NewV7()).String()
	last := fate.NotRun
	for send := 0; send < maxSends && last == fate.NotRun; send++ {
		if send > 0 {
			c.resent.Add(1)
			time.Sleep(retryPause)
		}
		began := time.Now()
		last = c.send(c.entry(n+send), id)
		if last == fate.Answered {
			c.record(time.Since(began))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fates[id] = last
}

func (c *callers) record(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.latency.RecordValue(max(minLatencyMicros, min(d.Microseconds(), maxLatencyMicros)))
}

// send sends the request once. An entry that could not be reached never got
// it; one that broke off may have sent it on.
func (c *callers) send(entry, id string) fate.Fate {
	url := "http://" + entry + "/v1/services/" + c.service + "/call/orders"
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"item":"pan"}`))
	if err != nil {
		return fate.NotRun
	}
	// Without a replayable body the client never sends the request twice by
	// itself.
	req.GetBody = nil
	req.Header.Set(traffic.HeaderRequestID, id)
	req.Header.Set(traffic.HeaderIdempotent, "false")
	resp, err := c.client.Do(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return fate.NotRun
		}
		return fate.Unknown
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fate.Unknown
	}
	f := parseFate(resp.Header.Get(traffic.HeaderFate))
	if f != fate.Answered {
		c.countReason(f, body)
	}
	return f
}

// countReason counts why an entry gave no answer.
func (c *callers) countReason(f fate.Fate, body []byte) {
	var problem struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(body, &problem) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reasons[f.String()+": "+problem.Reason]++
}

func parseFate(name string) fate.Fate {
	for _, f := range []fate.Fate{fate.Answered, fate.NotRun, fate.Unknown} {
		if f.String() == name {
			return f
		}
	}
	return fate.Unknown
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
