package config

import (
	"slices"

	"github.com/guavarill/guavarill/core/model"
)

// MaxHistory is the maximum number of changes of subjects that a State keeps. A
// peer whose revision is older than these changes gets the whole configuration.
const MaxHistory = 4096

// history records the revision at which each subject last changed, for revisions
// above since.
type history struct {
	since   model.Revision
	entries []historyEntry
	latest  map[string]model.Revision
}

// historyEntry is one change of a subject. It is obsolete if the subject changed
// again later.
type historyEntry struct {
	revision model.Revision
	subject  string
}

// reset clears the history; changes up to revision are not known afterwards.
func (h *history) reset(revision model.Revision) {
	h.since = revision
	h.entries = nil
	h.latest = make(map[string]model.Revision)
}

// add records that the subjects changed at revision, which must be higher than
// any added before.
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

// changedAfter returns the sorted subjects that changed after base. The second
// result is false if the history does not reach back to base.
func (h *history) changedAfter(base model.Revision) ([]string, bool) {
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
