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

// readHeaderTimeout bounds how long a client may take to ask.
const readHeaderTimeout = 5 * time.Second

// Faults are what is wrong with the list at present.
type Faults struct {
	// Down answers 503.
	Down bool
	// Silent accepts connections and never answers.
	Silent bool
	// Empty answers an empty list.
	Empty bool
	// Frozen answers what the list was when Frozen was set.
	Frozen bool
	// Slow is the time before each answer.
	Slow time.Duration
	// NoTag answers without an ETag, and whole each time.
	NoTag bool
	// SameTag answers the same ETag whatever the list is.
	SameTag bool
}

// List is the stand-in's state. It is safe for concurrent use.
type List struct {
	clock port.Clock

	mu      sync.Mutex
	lag     time.Duration
	history []version // oldest first
	faults  Faults
	frozen  []model.VM
	reads   int
	// unchanged is how many reads were answered 304.
	unchanged int
}

// version is the list from a moment on.
type version struct {
	since time.Time
	vms   []model.VM
}

// New returns a list without VMs that lags behind Set by lag.
func New(clock port.Clock, lag time.Duration) *List {
	return &List{clock: clock, lag: lag}
}

// Set replaces the list as it is in truth; readers see it after the lag.
func (l *List) Set(vms []model.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.prune(now)
	l.history = append(l.history, version{since: now, vms: append([]model.VM{}, vms...)})
}

// Update changes one VM in the latest list, or adds it.
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

// Remove takes a VM off the latest list.
func (l *List) Remove(id model.WorkerID) {
	vms := l.latest()
	for i := range vms {
		if vms[i].ID == id {
			l.Set(append(vms[:i], vms[i+1:]...))
			return
		}
	}
}

// SetFaults replaces the faults.
func (l *List) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Frozen && !l.faults.Frozen {
		l.frozen = l.visible()
	}
	l.faults = f
}

// Reads returns how many reads were answered or refused.
func (l *List) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Unchanged returns how many reads were told that the list did not change.
func (l *List) Unchanged() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unchanged
}

// ServeHTTP answers the list as readers see it now: with an ETag, compressed for
// readers that take it, and 304 without a body for those that hold it already.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	vms, faults := l.answer()
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if !wait(r, faults.Slow) {
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
	if etag := tag(body, faults); etag != "" {
		w.Header().Set("ETag", etag)
		if holds(r, etag) {
			l.countUnchanged()
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	write(w, r, body)
}

// tag names what the body says, however it is compressed: hence a weak one.
func tag(body []byte, faults Faults) string {
	switch {
	case faults.NoTag:
		return ""
	case faults.SameTag:
		return `W/"same"`
	}
	return fmt.Sprintf(`W/"%016x"`, xxhash.Sum64(body))
}

// holds reports whether the reader has the list of that tag.
func holds(r *http.Request, etag string) bool {
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

// write answers the body, compressed when the reader takes that. A reader that
// went away needs no answer, so errors of writing are left.
func write(w http.ResponseWriter, r *http.Request, body []byte) {
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
	_, _ = z.Write(body) // a buffer takes every write
	_ = z.Close()
	return out.Bytes()
}

// answer returns what one read sees.
func (l *List) answer() ([]model.VM, Faults) {
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

// wait lets d pass and reports whether the reader is still there.
func wait(r *http.Request, d time.Duration) bool {
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

// latest returns a copy of the list as it is in truth.
func (l *List) latest() []model.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.history) == 0 {
		return nil
	}
	return append([]model.VM(nil), l.history[len(l.history)-1].vms...)
}

// visible returns the list as it was one lag ago.
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

// prune drops versions that no reader can see any more.
func (l *List) prune(now time.Time) {
	seen := now.Add(-l.lag)
	for len(l.history) > 1 && !l.history[1].since.After(seen) {
		l.history = l.history[1:]
	}
}

// Server serves a List on a socket.
type Server struct {
	*List
	address string
	http    *http.Server
	done    chan struct{}
}

// Serve begins to serve list at address, with port 0 on a free one.
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
		_ = s.http.Serve(lis) // ends with ErrServerClosed
	}()
	return s, nil
}

// URL returns where the list is read.
func (s *Server) URL() string { return "http://" + s.address + "/" }

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}
