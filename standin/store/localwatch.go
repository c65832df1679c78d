package store

import (
	"context"
	"slices"

	"github.com/guavarill/guavarill/adapter/etcdstore/etcdwire"
	"github.com/guavarill/guavarill/port"
)

// localWatchBuffer is the number of unread events that a watch holds. One more ends
// the watch.
const localWatchBuffer = 4096

// localWatch is one watch of a Local. Its fields are guarded by the state's
// mutex.
type localWatch struct {
	cursor *cursor
	events chan port.WatchEvent
	// silenced is whether the watch is on a silenced connection.
	silenced bool
}

// Watch implements port.Store. Events are in the channel when the call that
// made the change returns.
func (l *Local) Watch(ctx context.Context, prefix string, after int64) (<-chan port.WatchEvent, error) {
	w, err := callLocal(ctx, l, localWatchCall, func() (*localWatch, error) {
		req := etcdwire.WatchRequest(prefix, after).GetCreateRequest()
		w := &localWatch{cursor: l.s.state.openWatch(req), events: make(chan port.WatchEvent, localWatchBuffer)}
		l.add(w)
		return w, nil
	})
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { l.remove(w) })
	return w.events, nil
}

func (l *Local) add(w *localWatch) {
	s := l.s.state
	s.mu.Lock()
	defer s.mu.Unlock()
	l.watches = append(l.watches, w)
	l.deliver(l.s.faults.isFrozen())
}

func (l *Local) remove(w *localWatch) {
	s := l.s.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(l.watches, w); i >= 0 {
		l.watches = slices.Delete(l.watches, i, i+1)
		close(w.events)
	}
}

// deliver sends each watch the events that it has not received yet, and removes the
// watches that have ended. The state's mutex must be held.
func (l *Local) deliver(frozen bool) {
	kept := l.watches[:0]
	for _, w := range l.watches {
		if w.silenced || l.send(w, frozen) {
			kept = append(kept, w)
		}
	}
	clear(l.watches[len(kept):])
	l.watches = kept
}

// send sends a watch its new events. It returns false if it ended the watch.
func (l *Local) send(w *localWatch, frozen bool) bool {
	b := l.s.state.readLocked(w.cursor, frozen)
	if b.compacted > 0 {
		w.end(port.StoreCompacted, "compacted")
		return false
	}
	for _, ev := range b.events {
		if len(w.events) == cap(w.events)-1 {
			w.end(port.StoreWatchBroken, "events not read")
			return false
		}
		w.events <- etcdwire.WatchEvent(ev)
	}
	return true
}

func (w *localWatch) end(kind port.StoreErrorKind, fault string) {
	err := localWatchCall.fail(kind, port.OutcomeNotDone, &FaultError{Fault: fault})
	w.events <- port.WatchEvent{Err: err}
	close(w.events)
}

// deliverLocal sends new events to all local watches. The state's mutex must be held.
func (s *Server) deliverLocal() {
	frozen := s.faults.isFrozen()
	for _, l := range s.allLocals() {
		l.deliver(frozen)
	}
}

func (s *Server) breakLocalWatches() {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for _, l := range s.allLocals() {
		l.breakWatches()
	}
}

// breakWatches ends all watches except those on silenced connections, which report
// nothing, not even their end.
func (l *Local) breakWatches() {
	kept := l.watches[:0]
	for _, w := range l.watches {
		if w.silenced {
			kept = append(kept, w)
			continue
		}
		w.end(port.StoreWatchBroken, "connection broken")
	}
	clear(l.watches[len(kept):])
	l.watches = kept
}

func (s *Server) silenceLocals() {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for _, l := range s.allLocals() {
		l.silent.Store(true)
		for _, w := range l.watches {
			w.silenced = true
		}
	}
}

func (s *Server) allLocals() []*Local {
	s.localsMu.Lock()
	defer s.localsMu.Unlock()
	return slices.Clone(s.locals)
}
