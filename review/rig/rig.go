package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	standin "github.com/guavarill/guavarill/standin/platform"
)

// poolName is the one service of the rig's platform.
const poolName = "pool"

// rig is a platform on loopback addresses with daemons as separate processes.
type rig struct {
	began time.Time
	// dir holds the daemons' settings and logs.
	dir string
	// disturbed is whether the case's disturbance takes place.
	disturbed bool
	record    *os.File
	store     *standin.Store
	// storeAddress is where the store listens.
	storeAddress string
	storeServer  *http.Server
	audit        *audit
	workers      []*worker
	daemons      []*daemon

	// startMu is held while a daemon is added or started. closed is set once none may be.
	startMu  sync.Mutex
	closed   bool
	recordMu sync.Mutex
	mu       sync.Mutex
	jobs     map[string]*clientJob
}

// newRig starts a platform without workers and daemons. Its record is written to a file.
func newRig(file string) (*rig, error) {
	record, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-rig")
	if err != nil {
		return nil, err
	}
	r := &rig{
		began: time.Now(), dir: dir, disturbed: os.Getenv("TROUBLE") != "0", record: record, store: standin.NewStore(),
		jobs: make(map[string]*clientJob),
	}
	r.audit = newAudit(r)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.storeAddress = l.Addr().String()
	r.storeServer = &http.Server{Handler: r.store}
	go func() { _ = r.storeServer.Serve(l) }()
	return r, nil
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	_, _ = r.record.WriteString(line)
}

// rigFailure is the panic with which a case ends that cannot run.
type rigFailure struct{ err error }

// String returns the reason.
func (f rigFailure) String() string { return f.err.Error() }

// must ends the case if there is an error.
func (r *rig) must(err error) {
	if err != nil {
		panic(rigFailure{err})
	}
}

// queue is a route as the operator writes it.
type queue struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"prefix"`
	Kind            string  `json:"kind"`
	Service         string  `json:"service"`
	Priority        int     `json:"priority"`
	MaxAttempts     int     `json:"maxAttempts"`
	Stretch         float64 `json:"stretch"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
	TimeoutMs       int     `json:"timeoutMs"`
}

// newQueue returns a queue with the figures of a small deployment.
func newQueue(name string) queue {
	return queue{
		Name: "r-" + name, Host: "jobs.example", Prefix: "/" + name + "/", Kind: "non_idempotent", Service: poolName,
		MaxAttempts: 4, Stretch: 2, TargetLatencyMs: 1000, TimeoutMs: 3000,
	}
}

// configure writes the configuration.
func (r *rig) configure(queues ...queue) {
	r.store.Put("op/config", map[string]any{
		"version": 7, "routes": queues,
		"services": []map[string]any{{
			"name": poolName, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "admissionCheck": true, "spare": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// The size of the rig's deployment, and the capacity of a worker.
const (
	workerCount = 10
	daemonCount = 4
	rackSize    = 4
)

var workerRoom = capacity{CPU: 16000, MemMB: 64000}

// deploy starts the workers and the daemons, and waits until the daemons are ready and one
// of them leads.
func (r *rig) deploy(queues ...queue) {
	r.configure(queues...)
	for i := range workerCount {
		r.startWorker(fmt.Sprintf("w%02d", i), workerRoom, "a", fmt.Sprintf("r%d", i/rackSize))
	}
	for range daemonCount {
		r.addDaemon().start()
	}
	for _, d := range r.daemons {
		if !waitFor(15*time.Second, d.isReady) {
			r.must(fmt.Errorf("%s is not ready", d.name))
		}
	}
	time.Sleep(2 * time.Second)
}

// close ends all that the case has started.
func (r *rig) close() {
	r.startMu.Lock()
	r.closed = true
	daemons := r.daemons
	r.startMu.Unlock()
	for _, d := range daemons {
		d.kill()
	}
	for _, w := range r.workers {
		_ = w.server.Close()
	}
	_ = r.storeServer.Close()
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}

// waitFor waits until a condition holds, for a limited time, and reports whether it does.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
