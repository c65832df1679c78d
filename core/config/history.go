package config

import (
	"slices"

	"github.com/guavarill/guavarill/core/model"
)

// MaxHistory bounds how many changes of subjects a State remembers. A peer
// that is further behind is sent the whole configuration.
const MaxHistory = 4096

// history remembers at which revision each subject last changed, for the
// revisions above since.
type history struct {
	since   model.Revision
	entries []historyEntry
	latest  map[string]model.Revision
}

// historyEntry is void when its subject changed again later.
type historyEntry struct {
	revision model.Revision
	subject  string
}

// restart forgets everything: what changed before revision is not known.
func (h *history) restart(revision model.Revision) {
	h.since = revision
	h.entries = nil
	h.latest = make(map[string]model.Revision)
}

// add records that the subjects changed at revision, which is the highest yet.
func (h *history) add(revision model.Revision, subjects []string) {
	for _, subject := range subjects {
		h.entries = append(h.entries, historyEntry{revision: revision, subject: subject})
		h.latest[subject] = revision
	}
	h.trim()
}

func (h *history) trim() {
	excess := len(h.entries) - MaxHistory
	if excess <= 0 {
		return
	}
	for _, e := range h.entries[:excess] {
		h.since = max(h.since, e.revision)
		if h.latest[e.subject] == e.revision {
			delete(h.latest, e.subject)
		}
	}
	h.entries = slices.Delete(h.entries, 0, excess)
}

// after returns, sorted, the subjects that changed after base. The second
// result is false when that is no longer known.
func (h *history) after(base model.Revision) ([]string, bool) {
	if base < h.since {
		return nil, false
	}
	var subjects []string
	for i := len(h.entries) - 1; i >= 0 && h.entries[i].revision > base; i-- {
		e := h.entries[i]
		if h.latest[e.subject] == e.revision {
			subjects = append(subjects, e.subject)
		}
	}
	slices.Sort(subjects)
	return subjects, true
}
