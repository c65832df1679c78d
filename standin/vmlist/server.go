package vmlist

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/port"
)

// readHeaderTimeout limits how long a client may take to send the request header.
const readHeaderTimeout = 5 * time.Second

// Faults are the faults that the server injects. The zero value injects none.
type Faults struct {
	// Down makes the server respond with status 503.
	Down bool
	// Silent makes the server accept connections and never respond.
	Silent bool
	// Empty makes the server return an empty list.
	Empty bool
	// Frozen makes the server return the list that was visible when Frozen was
	// set.
	Frozen bool
	// Slow is the delay before each response.
	Slow time.Duration
	// NoETag omits the ETag, so that every read returns the whole list.
	NoETag bool
	// ConstantETag sends the same ETag for every list.
	ConstantETag bool
}

// List is the list of VMs with its history and faults. It is an http.Handler and
// is safe for concurrent use.
type List struct {
	clock port.Clock

	mu      sync.Mutex
	lag     time.Duration
	history []version // oldest first
	faults  Faults
	frozen  []model.VM
	reads   int
	// unchanged is the number of reads that got status 304.
	unchanged int
}

// version is the list as it was set at the time since.
type version struct {
	since time.Time
	vms   []model.VM
}

// New returns an empty list. Readers see a change made by Set after the time lag.
func New(clock port.Clock, lag time.Duration) *List {
	return &List{clock: clock, lag: lag}
}

// Set replaces the latest list. Readers see the new list after the lag.
func (l *List) Set(vms []model.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.prune(now)
	l.history = append(l.history, version{since: now, vms: append([]model.VM{}, vms...)})
}

// Update replaces the VM with the same ID in the latest list, or adds the VM.
func (l *List) Update(vm model.VM) {
	vms := l.latest()
	for i := range vms {
		if vms[i].ID == vm.ID {
			vms[i] = vm
			l.Set(vms)
			return
		}
	}
	l.Set(append(vms, vm))
}

// Remove removes a VM from the latest list, if it is there.
func (l *List) Remove(id model.WorkerID) {
	vms := l.latest()
	for i := range vms {
		if vms[i].ID == id {
			l.Set(append(vms[:i], vms[i+1:]...))
			return
		}
	}
}

// SetFaults replaces the injected faults.
func (l *List) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Frozen && !l.faults.Frozen {
		l.frozen = l.visible()
	}
	l.faults = f
}

// Reads returns the number of reads, including failed ones and ones that got no
// response.
func (l *List) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Unchanged returns the number of reads that got status 304 (not modified).
func (l *List) Unchanged() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unchanged
}

// ServeHTTP returns the visible list with an ETag, compressed with gzip if the
// client accepts it. It responds with status 304 and no body if the request's
// If-None-Match header has the list's ETag.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	vms, faults := l.read()
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if !sleep(r, faults.Slow) {
		return
	}
	if faults.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(vms)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if etag := etagFor(body, faults); etag != "" {
		w.Header().Set("ETag", etag)
		if matchesETag(r, etag) {
			l.countUnchanged()
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	writeBody(w, r, body)
}

// etagFor returns the ETag of the body, or "" for none. The tag is weak, as it is the
// same for the plain and the compressed body.
func etagFor(body []byte, faults Faults) string {
	switch {
	case faults.NoETag:
		return ""
	case faults.ConstantETag:
		return `W/"same"`
	}
	return fmt.Sprintf(`W/"%016x"`, xxhash.Sum64(body))
}

// matchesETag reports whether the request's If-None-Match header matches the ETag.
func matchesETag(r *http.Request, etag string) bool {
	for _, held := range strings.Split(r.Header.Get("If-None-Match"), ",") {
		held = strings.TrimSpace(held)
		if held == "*" || strings.TrimPrefix(held, "W/") == strings.TrimPrefix(etag, "W/") {
			return true
		}
	}
	return false
}

func (l *List) countUnchanged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unchanged++
}

// writeBody sends the body, compressed if the client accepts gzip. Write errors are
// ignored, because they only mean that the client has disconnected.
func writeBody(w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Vary", "Accept-Encoding")
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		body = compress(body)
	}
	_, _ = w.Write(body)
}

func compress(body []byte) []byte {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	_, _ = z.Write(body) // writes to a bytes.Buffer do not fail
	_ = z.Close()
	return out.Bytes()
}

// read counts one read and returns the list and the faults that apply to it.
func (l *List) read() ([]model.VM, Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	switch {
	case l.faults.Empty:
		return []model.VM{}, l.faults
	case l.faults.Frozen:
		return l.frozen, l.faults
	}
	return l.visible(), l.faults
}

// sleep waits for d and reports whether the client is still connected.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// latest returns a copy of the list that was set last, whether it is visible to
// readers or not.
func (l *List) latest() []model.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.history) == 0 {
		return nil
	}
	return append([]model.VM(nil), l.history[len(l.history)-1].vms...)
}

// visible returns the list that was current one lag ago, which is the list that
// readers see. The caller holds l.mu.
func (l *List) visible() []model.VM {
	seen := l.clock.Now().Add(-l.lag)
	vms := []model.VM{}
	for _, v := range l.history {
		if !v.since.After(seen) {
			vms = v.vms
		}
	}
	return vms
}

// prune drops the versions that readers can no longer see at the time now. The
// caller holds l.mu.
func (l *List) prune(now time.Time) {
	seen := now.Add(-l.lag)
	for len(l.history) > 1 && !l.history[1].since.After(seen) {
		l.history = l.history[1:]
	}
}

// Server serves a List over HTTP on a TCP socket.
type Server struct {
	*List
	address string
	http    *http.Server
	done    chan struct{}
}

// Serve starts a server of list at address (host:port). Port 0 selects a free
// port.
func Serve(list *List, address string) (*Server, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Server{
		List:    list,
		address: lis.Addr().String(),
		http:    &http.Server{Handler: list, ReadHeaderTimeout: readHeaderTimeout},
		done:    make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(lis) // returns ErrServerClosed after Close
	}()
	return s, nil
}

// URL returns the URL of the list.
func (s *Server) URL() string { return "http://" + s.address + "/" }

// Close closes the server and its connections, and waits until the server has
// stopped.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}
