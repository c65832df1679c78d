package platform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"time"
)

// Queue is a queue as the operator writes it.
type Queue struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Service     string  `json:"service"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"maxAttempts"`
	Stretch     float64 `json:"stretch"`
}

// Limits are those on callers' requests as the operator writes them; what is 0 is left out.
type Limits struct {
	HeaderBytes     int   `json:"maxHeaderBytes,omitempty"`
	BodyBytes       int64 `json:"maxBodyBytes,omitempty"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs,omitempty"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs,omitempty"`
}

// UsersLimits returns the limits of the users' sites.
func UsersLimits() Limits {
	return Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
}

// entriesPrefix precedes the id of each listed worker.
const entriesPrefix = "servers/"

// The states that an entry tells.
const (
	entryReady    = "ready"
	entryDraining = "draining"
)

// cordonsPrefix precedes the name of each zone that the operator has closed to starts.
const cordonsPrefix = "op/evacuate/"

// The one pool of workers of a Site, and the zone of its daemons and of workers that
// name none.
const (
	sitePool = "pool"
	siteZone = "z"
)

// CordonWithin is the time within which a cordon must be in force.
const CordonWithin = 5 * time.Second

// What a daemon's process may use: memory in MB, and open file descriptors.
const (
	VMMemoryMB        = 284
	VMFileDescriptors = 4100
)

// What the users' store does a second for all daemons together.
const (
	StoreWritesPerSecond = 400
	StoreReadsPerSecond  = 2000
)

// WorkerCPU is what a worker has, in thousandths of a core.
const WorkerCPU = 16000

// JobsQueue returns a queue for the pool of a Site.
func JobsQueue() Queue {
	return Queue{
		Name: "jobs", Host: "jobs.example", Prefix: "/jobs/", Service: sitePool, MaxAttempts: 3, Stretch: 1.5,
	}
}

// Site is a store and workers on loopback, without daemons.
type Site struct {
	Store *Store
	// Audit sees every start and end at the workers.
	Audit *Audit
	// OnCrash is called when a task has crashed a worker, before what ran there is
	// lost; nil if no task does. It must call LoseWorker.
	OnCrash func(id string)
	// Limits are those on callers' requests in the configurations to come.
	Limits Limits
	// Workers are those that were added, by id.
	Workers map[string]*SiteWorker

	server  *httptest.Server
	version int
}

// SiteWorker is a worker that serves at an address.
type SiteWorker struct {
	*Worker
	// Address is the one that it is listed with: its own, or a proxy's.
	Address string
	server  *httptest.Server
	// serves is the incarnation that answers at the server.
	serves *atomic.Pointer[Worker]
	zone   string
	labels []string
}

// OwnAddress returns the address at which it serves.
func (w *SiteWorker) OwnAddress() string { return w.server.Listener.Addr().String() }

// NewSite starts a site without workers and without configuration.
func NewSite() *Site {
	s := &Site{Store: NewStore(), Audit: NewAudit(), Limits: Limits{BodyBytes: 65536}, Workers: make(map[string]*SiteWorker)}
	s.server = httptest.NewServer(s.Store)
	return s
}

// Close ends the store and the workers.
func (s *Site) Close() {
	for _, w := range s.Workers {
		w.server.CloseClientConnections()
		w.server.Close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
}

// StoreAddress returns the store's host:port.
func (s *Site) StoreAddress() string { return s.server.Listener.Addr().String() }

// Configure writes the next version of the operator's configuration.
func (s *Site) Configure(queues ...Queue) {
	s.version++
	s.Store.Put("op/config", map[string]any{
		"version": s.version, "routes": queues,
		"services": []map[string]any{{"name": sitePool, "admissionCheck": true}},
		"limits":   s.Limits,
	})
}

// Version returns that of the last configuration.
func (s *Site) Version() int { return s.version }

// AddWorker starts a worker with 16 cores whose tasks take taskTime, or run
// until they are stopped when that is 0, and lists it.
func (s *Site) AddWorker(id string, taskTime time.Duration, labels ...string) *SiteWorker {
	return s.AddWorkerIn(siteZone, id, taskTime, labels...)
}

// AddWorkerIn starts a worker as AddWorker does, in a zone.
func (s *Site) AddWorkerIn(zone, id string, taskTime time.Duration, labels ...string) *SiteWorker {
	w := &SiteWorker{
		Worker: NewWorker(id, taskTime, s.Audit), serves: new(atomic.Pointer[Worker]), zone: zone,
		labels: append([]string{"a", "r1"}, labels...),
	}
	w.OnCrash = s.OnCrash
	w.serves.Store(w.Worker)
	w.server = httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		w.serves.Load().ServeHTTP(out, r)
	}))
	w.Address = w.OwnAddress()
	s.Workers[id] = w
	s.List(id)
	return w
}

// Restart has another incarnation of a worker come at its address under its id. The
// connections end with the one before.
func (s *Site) Restart(id string) {
	old := s.Workers[id]
	old.Stop()
	old.server.CloseClientConnections()
	s.Return(id, id)
}

// Return has another incarnation of a worker that was lost come at its address,
// with an id of its own.
func (s *Site) Return(lost, id string) {
	old := s.Workers[lost]
	w := &SiteWorker{
		Worker: NewWorker(id, old.TaskTime, s.Audit), Address: old.Address, server: old.server,
		serves: old.serves, zone: old.zone, labels: old.labels,
	}
	w.OnCrash = s.OnCrash
	w.serves.Store(w.Worker)
	s.Workers[id] = w
	s.List(id)
}

// List lists a worker as ready.
func (s *Site) List(id string) { s.enter(id, entryReady) }

// Drain lists a worker as one that leaves.
func (s *Site) Drain(id string) { s.enter(id, entryDraining) }

// enter writes a worker's entry in the list of workers.
func (s *Site) enter(id, state string) {
	w := s.Workers[id]
	s.Store.Put(entriesPrefix+id, Entry{
		Service: sitePool, Address: w.Address, Zone: w.zone, Version: "1", Slots: 8, Sequence: 1, State: state, Born: w.Born,
		Capacity: map[string]int{"cpu": WorkerCPU, "memMb": 64000}, Labels: w.labels,
	})
}

// Zone returns the zone of a worker.
func (s *Site) Zone(id string) string { return s.Workers[id].zone }

// Cordon asks that nothing be started in a zone any more, with any value.
func (s *Site) Cordon(zone string, value []byte) { s.Store.PutBytes(cordonsPrefix+zone, value) }

// LiftCordon opens a zone again.
func (s *Site) LiftCordon(zone string) { s.Store.Delete(cordonsPrefix + zone) }

// Damage writes bytes in the place of an entry, which need not be a worker's.
func (s *Site) Damage(id string, value []byte) { s.Store.PutBytes(entriesPrefix+id, value) }

// Entry returns what is written in the place of an entry, nil if nothing is.
func (s *Site) Entry(id string) []byte { return s.Store.Value(entriesPrefix + id) }

// Unlist takes a worker's entry away, and leaves the worker as it is.
func (s *Site) Unlist(id string) { s.Store.Delete(entriesPrefix + id) }

// LoseWorker ends a worker without a word.
func (s *Site) LoseWorker(id string) {
	s.Workers[id].Stop()
	s.Unlist(id)
}

// lastVM numbers the VMs of all sites of the process.
var lastVM atomic.Int32

// newVM returns a loopback address of its own, so that the ports of a VM are
// free: nothing else listens there. A port found free at a shared address may
// be taken by another process before the daemon listens.
func newVM() string {
	n := lastVM.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+n/250, 1+n%250)
}

// SettingsFile returns the settings that the platform gives to a daemon on a VM
// of its own, which reaches the store at an address.
func (s *Site) SettingsFile(daemon, store string) []byte {
	ip := newVM()
	return fmt.Appendf(nil, `nodeName: %s
zone: %s
ip: %s
internalPorts: [7720]
listen: {front: "%s:8161", readiness: "%s:8167"}
limits: {memoryMb: %d, fileDescriptors: %d}
bounds: {maxHoldMs: 3000, stopMs: 400, graceS: 6, status_s: 120, paceMs: 100, configApplyMs: 2000, maxStretchMs: 5000, evacuationMs: %d}
platform: {address: "%s", minTtlMs: 1000, writesPerS: %d, readsPerS: %d}
advice: "127.0.0.1:1"
`, daemon, siteZone, ip, ip, ip, VMMemoryMB, VMFileDescriptors, CordonWithin.Milliseconds(), store, StoreWritesPerSecond, StoreReadsPerSecond)
}
