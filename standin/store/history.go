package store

import (
	etcdv3 "github.com/guavarill/guavarill/api/etcd/v3"
)

// history holds the changes of the latest revisions for watches.
type history struct {
	keep int64
	// compacted is the latest compacted revision.
	compacted int64
	entries   []entry
	// changed is closed and replaced when watches have something to read.
	changed chan struct{}
}

type entry struct {
	revision int64
	events   []*etcdv3.Event
}

func (h *history) add(revision int64, events []*etcdv3.Event) {
	h.entries = append(h.entries, entry{revision: revision, events: events})
	h.compact(revision - h.keep)
	h.wake()
}

func (h *history) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *history) compact(revision int64) {
	if revision <= h.compacted {
		return
	}
	h.compacted = revision
	first := 0
	for first < len(h.entries) && h.entries[first].revision <= revision {
		h.entries[first] = entry{}
		first++
	}
	h.entries = h.entries[first:]
}

// since returns the changes in a key range from the revision on, or false if some of
// them were compacted.
func (h *history) since(revision int64, key, end []byte) ([]*etcdv3.Event, bool) {
	if revision <= h.compacted {
		return nil, false
	}
	var found []*etcdv3.Event
	for _, e := range h.from(revision) {
		for _, ev := range e.events {
			if inRange(ev.Kv.Key, key, end) {
				found = append(found, ev)
			}
		}
	}
	return found, true
}

func (h *history) from(revision int64) []entry {
	first := len(h.entries)
	for first > 0 && h.entries[first-1].revision >= revision {
		first--
	}
	return h.entries[first:]
}
