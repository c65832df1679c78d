package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ordered"
)

// EntryChange is a change of an entry of the platform's list.
type EntryChange int

// The changes.
const (
	EntryBecameUnusable EntryChange = iota
	EntryRepaired
	EntryGone
)

var (
	entryChangeNames    = [...]string{"unusable", "repaired", "gone"}
	entryChangeMessages = [...]string{joblog.MessageEntryUnusable, joblog.MessageEntryRepaired, joblog.MessageEntryGone}
)

// String returns the name of the change.
func (t EntryChange) String() string {
	if t < 0 || int(t) >= len(entryChangeNames) {
		return "invalid turn"
	}
	return entryChangeNames[t]
}

// EntryCounts holds statistics of the entries of the platform's list.
type EntryCounts struct {
	// Unusable counts the unusable entries of the last list by fault.
	Unusable map[EntryFault]int
	// Changes counts the changes since the counts were last taken.
	Changes map[EntryChange]int
}

const (
	// maxTrackedUnknown bounds how many unusable entries of unknown workers are
	// tracked individually: a faulty writer may leave ten thousand. Those of known
	// workers are all tracked; there are no more of them than workers.
	maxTrackedUnknown = 64
	// changeNoteWindow is the period in which at most unknownNotesPerWindow changes
	// of entries of unknown workers are noted, and at most workerNotesPerWindow of
	// those of known workers. The bounds are separate so that many of the first do
	// not hide any of the second. A worker whose entry is damaged and repaired
	// repeatedly would otherwise be noted with every list.
	changeNoteWindow      = 10 * time.Second
	unknownNotesPerWindow = 80
	workerNotesPerWindow  = 200
)

// entryTracker tracks the unusable entries across lists. Without it operators
// cannot see why a healthy worker gets no tasks: it answers calls, and its entry
// looks valid except for one field.
type entryTracker struct {
	tracked                   ordered.Map[model.WorkerID, EntryFault]
	unusable                  map[EntryFault]int
	changes                   map[EntryChange]int
	unknownNotes, workerNotes noteBudget
}

// noteBudget limits the notes in each changeNoteWindow.
type noteBudget struct {
	since         time.Time
	made, leftOut int
}

// take reports whether another note may be emitted, and how many were dropped since
// the last one.
func (b *noteBudget) take(now time.Time, limit int) (may bool, leftOut int) {
	if now.Sub(b.since) >= changeNoteWindow {
		b.since, b.made = now, 0
	}
	if b.made >= limit {
		b.leftOut++
		return false, 0
	}
	leftOut = b.leftOut
	b.made++
	b.leftOut = 0
	return true, leftOut
}

// trackEntries processes the unusable entries of a list after the usable ones have
// been applied.
func (m *Machine) trackEntries(unusable []UnusableEntry) {
	e := &m.entries
	now := make(map[model.WorkerID]struct{}, len(unusable))
	e.unusable = make(map[EntryFault]int)
	for _, u := range unusable {
		now[u.ID] = struct{}{}
		e.unusable[u.Fault]++
	}
	unknown := m.updateTracked(now)
	for _, u := range unusable {
		known := m.latestIncarnation(u.ID) != nil
		switch {
		case e.tracked.Has(u.ID):
			e.tracked.Set(u.ID, u.Fault)
			continue
		case known:
		case unknown >= maxTrackedUnknown:
			continue
		default:
			unknown++
		}
		e.tracked.Set(u.ID, u.Fault)
		m.entryChanged(u.ID, EntryBecameUnusable, u.Fault.String())
	}
}

// updateTracked stops tracking the entries that are no longer unusable, and returns
// how many of the remaining ones belong to unknown workers.
func (m *Machine) updateTracked(unusable map[model.WorkerID]struct{}) (unknown int) {
	e := &m.entries
	for id, fault := range e.tracked.All() {
		w := m.latestIncarnation(id)
		if _, stillUnusable := unusable[id]; stillUnusable {
			if w == nil {
				unknown++
			}
			continue
		}
		e.tracked.Delete(id)
		change := EntryGone
		if w != nil && w.listed {
			change = EntryRepaired
		}
		m.entryChanged(id, change, "was "+fault.String())
	}
	return unknown
}

// entryChanged counts a change and emits a note within the limits.
func (m *Machine) entryChanged(id model.WorkerID, change EntryChange, reason string) {
	e := &m.entries
	if e.changes == nil {
		e.changes = make(map[EntryChange]int)
	}
	e.changes[change]++
	budget, limit := &e.unknownNotes, unknownNotesPerWindow
	if m.latestIncarnation(id) != nil {
		budget, limit = &e.workerNotes, workerNotesPerWindow
	}
	may, leftOut := budget.take(m.now, limit)
	if !may {
		return
	}
	if leftOut > 0 {
		reason += fmt.Sprintf("; %d other turns were not told", leftOut)
	}
	m.emit(Note{Decision: entryChangeMessages[change], Worker: model.Incarnation{ID: id}, Reason: reason})
}

// TakeEntryCounts returns the counts and resets those of changes.
func (m *Machine) TakeEntryCounts() EntryCounts {
	counts := EntryCounts{Unusable: m.entries.unusable, Changes: m.entries.changes}
	m.entries.changes = nil
	return counts
}
