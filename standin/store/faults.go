package store

import (
	"slices"
	"sync"
	"time"
)

// Loss is how the absence of a response appears to the caller.
type Loss int

const (
	// LossBreak breaks the connection that carried the call.
	LossBreak Loss = iota
	// LossHang never answers the call, and keeps the connection working.
	LossHang
)

// faults holds the simulated faults that are in force or that wait for their calls.
type faults struct {
	mu     sync.Mutex
	down   bool
	slow   time.Duration
	frozen bool
	lose   []armed
	drop   []armed
}

// armed is a fault of the next calls of some methods.
type armed struct {
	left    int
	how     Loss
	methods []Method
}

func (a *armed) fits(m Method) bool {
	if len(a.methods) == 0 {
		return m.Mutates()
	}
	return slices.Contains(a.methods, m)
}

// plan is the set of faults of one call.
type plan struct {
	slow time.Duration
	// dropped is whether the call has no effect, lost whether it has its effect.
	// Neither gets a response.
	dropped bool
	lost    bool
	how     Loss
}

func (f *faults) plan(m Method) plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := plan{slow: f.slow}
	if how, ok := next(&f.drop, m); ok {
		p.dropped, p.how = true, how
		return p
	}
	if how, ok := next(&f.lose, m); ok {
		p.lost, p.how = true, how
	}
	return p
}

func next(list *[]armed, m Method) (Loss, bool) {
	for i := range *list {
		a := &(*list)[i]
		if !a.fits(m) {
			continue
		}
		how := a.how
		a.left--
		if a.left == 0 {
			*list = slices.Delete(*list, i, i+1)
		}
		return how, true
	}
	return 0, false
}

func (f *faults) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *faults) isFrozen() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozen
}

func (f *faults) setFrozen(frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen = frozen
}

// Down breaks all connections and refuses new ones. A call in flight may or
// may not have its effect.
func (s *Server) Down() {
	s.faults.mu.Lock()
	s.faults.down = true
	s.faults.mu.Unlock()
	if s.o.ExtendLeasesOnUp {
		s.state.holdLeases(true)
	}
	s.listener.refuse(true)
	s.breakLocalWatches()
}

// Up ends Down.
func (s *Server) Up() {
	if s.o.ExtendLeasesOnUp {
		s.state.extendLeases()
		s.state.holdLeases(false)
	}
	s.faults.mu.Lock()
	s.faults.down = false
	s.faults.mu.Unlock()
	s.listener.refuse(false)
}

// Slow delays the effect of each call by d, even if its caller no longer waits.
// 0 ends the delay.
func (s *Server) Slow(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.slow = d
}

// LoseAnswer executes the next n mutating calls, or calls of the given methods,
// without responding to them.
func (s *Server) LoseAnswer(n int, how Loss, methods ...Method) {
	s.faults.arm(&s.faults.lose, n, how, methods)
}

// DropBefore drops the next n mutating calls, or calls of the given methods: they
// have no effect and get no response.
func (s *Server) DropBefore(n int, how Loss, methods ...Method) {
	s.faults.arm(&s.faults.drop, n, how, methods)
}

func (f *faults) arm(list *[]armed, n int, how Loss, methods []Method) {
	if n <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	*list = append(*list, armed{left: n, how: how, methods: methods})
}

// ClearFaults ends Slow and removes the faults that no call has met yet.
func (s *Server) ClearFaults() {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.slow, s.faults.lose, s.faults.drop = 0, nil, nil
}

// BreakConnections breaks all open connections and watches. New ones work.
func (s *Server) BreakConnections() {
	s.listener.breakAll()
	s.breakLocalWatches()
}

// SilenceConnections makes all open connections permanently silent: they accept
// bytes, but send none and are not closed. New connections work.
func (s *Server) SilenceConnections() {
	s.listener.silenceAll()
	s.silenceLocals()
}

// FreezeWatches holds back all watches' events until ThawWatches.
func (s *Server) FreezeWatches() { s.faults.setFrozen(true) }

// ThawWatches delivers what FreezeWatches held back.
func (s *Server) ThawWatches() {
	s.faults.setFrozen(false)
	s.state.wakeWatches()
}

// LapseLease ends a lease as if it had expired, and reports whether the lease
// existed.
func (s *Server) LapseLease(id int64) bool { return s.state.lapse(id) }

// LapseLeaseOf ends the lease that key is attached to, and reports whether there
// was one.
func (s *Server) LapseLeaseOf(key string) bool { return s.state.lapseOf(key) }
