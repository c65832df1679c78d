package vmlist

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

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
	l.history = append(l.history, version{since: now, vms: append([]model.VM(nil), vms...)})
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

// ServeHTTP answers the list as readers see it now.
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
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(vms) // a reader that went away needs no answer
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
