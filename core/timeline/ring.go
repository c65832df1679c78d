package timeline

import (
	"sync"
	"time"
)

// Ring keeps the latest events of one process. It is safe for concurrent use by
// several goroutines.
type Ring struct {
	process string

	mu sync.Mutex
	// events is used as a ring buffer when it is full: the event with sequence s
	// is at index (s-1) mod capacity.
	events   []Event
	capacity uint64
	last     uint64
	lastTime time.Time
}

// NewRing returns an empty ring for the events of a process. It keeps the latest
// capacity events, and at least one.
func NewRing(process string, capacity int) *Ring {
	return &Ring{process: process, capacity: uint64(max(capacity, 1))}
}

// Append records e as an event at time now. It sets the event's time, process and
// sequence.
//
// If now is earlier than the time of the previous event, Append uses that time
// instead. Otherwise, after the wall clock is set back, later events would sort
// before earlier ones, and a merged list would show effects before their causes.
func (r *Ring) Append(now time.Time, e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()

	wall := now.Round(0).UTC()
	if wall.Before(r.lastTime) {
		wall = r.lastTime
	}
	r.lastTime = wall
	r.last++
	e.Time = wall
	e.Process = r.process
	e.Sequence = r.last
	if e.Shard != nil {
		e.Shard = ShardPtr(*e.Shard)
	}
	r.store(e)
}

func (r *Ring) store(e Event) {
	if uint64(len(r.events)) < r.capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[(e.Sequence-1)%r.capacity] = e
}

// Since returns the kept events with a sequence greater than seq, oldest first. If
// the first of them has a sequence greater than seq+1, the events between were
// dropped.
func (r *Ring) Since(seq uint64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()

	if seq >= r.last {
		return nil
	}
	first := max(seq, r.last-uint64(len(r.events))) + 1
	out := make([]Event, 0, r.last-first+1)
	for s := first; s <= r.last; s++ {
		out = append(out, r.events[(s-1)%r.capacity])
	}
	return out
}

// All returns all kept events, oldest first.
func (r *Ring) All() []Event { return r.Since(0) }
