package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ordered"
)

// EntryChange is what became of an entry of the platform's list.
type EntryChange int

// The turns.
const (
	EntryBecameUnusable EntryChange = iota
	EntryRepaired
	EntryGone
)

var (
	entryChangeNames    = [...]string{"unusable", "repaired", "gone"}
	entryChangeMessages = [...]string{joblog.MessageEntryUnusable, joblog.MessageEntryRepaired, joblog.MessageEntryGone}
)

// String returns the turn's name.
func (t EntryChange) String() string {
	if t < 0 || int(t) >= len(entryChangeNames) {
		return "invalid turn"
	}
	return entryChangeNames[t]
}

// EntryCounts tells how the entries of the platform's list fare.
type EntryCounts struct {
	// Unusable counts the unusable entries of the last list by their fault.
	Unusable map[EntryFault]int
	// Changes counts the turns since the counts were taken last.
	Changes map[EntryChange]int
}

const (
	// maxTrackedUnknown bounds the unusable entries that are followed one by one
	// and name no worker which is known: a writer may leave ten thousand. Those
	// of known workers are followed all, and are no more than the workers.
	maxTrackedUnknown = 64
	// changeNoteWindow is the time in which at most strangerTurnNotes turns of strangers'
	// entries are noted, and workerTurnNotes of those of known workers. Each has its
	// own bound, so that many of the first hide none of the second. A worker
	// whose entry is damaged and mended goes on, and would be noted at each list.
	changeNoteWindow      = 10 * time.Second
	unknownNotesPerWindow = 80
	workerNotesPerWindow  = 200
)

// entryTracker follows the unusable entries from list to list. Without it nobody
// sees why a worker that is well gets no tasks: it answers, and its entry looks
// all right but for a field.
type entryTracker struct {
	tracked            ordered.Map[model.WorkerID, EntryFault]
	unusable           map[EntryFault]int
	turns              map[EntryChange]int
	strangers, workers noteBudget
}

// noteBudget bounds notes in a window of time.
type noteBudget struct {
	since         time.Time
	made, leftOut int
}

// take reports whether a note more may be made, and how many were left out
// since the last one.
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

// trackEntries takes in the unusable entries of a list, when the others are.
func (m *Machine) trackEntries(unusable []UnusableEntry) {
	e := &m.entries
	now := make(map[model.WorkerID]struct{}, len(unusable))
	e.unusable = make(map[EntryFault]int)
	for _, u := range unusable {
		now[u.ID] = struct{}{}
		e.unusable[u.Fault]++
	}
	strangers := m.updateTracked(now)
	for _, u := range unusable {
		known := m.latestIncarnation(u.ID) != nil
		switch {
		case e.tracked.Has(u.ID):
			e.tracked.Set(u.ID, u.Fault)
			continue
		case known:
		case strangers >= maxTrackedUnknown:
			continue
		default:
			strangers++
		}
		e.tracked.Set(u.ID, u.Fault)
		m.entryChanged(u.ID, EntryBecameUnusable, u.Fault.String())
	}
}

// updateTracked lets go of the entries that are no longer unusable, and returns
// how many of the others name no worker that is known.
func (m *Machine) updateTracked(unusable map[model.WorkerID]struct{}) (strangers int) {
	e := &m.entries
	for id, fault := range e.tracked.All() {
		w := m.latestIncarnation(id)
		if _, still := unusable[id]; still {
			if w == nil {
				strangers++
			}
			continue
		}
		e.tracked.Delete(id)
		turn := EntryGone
		if w != nil && w.listed {
			turn = EntryRepaired
		}
		m.entryChanged(id, turn, "was "+fault.String())
	}
	return strangers
}

// entryChanged counts a turn, and notes it within bounds.
func (m *Machine) entryChanged(id model.WorkerID, turn EntryChange, reason string) {
	e := &m.entries
	if e.turns == nil {
		e.turns = make(map[EntryChange]int)
	}
	e.turns[turn]++
	budget, limit := &e.strangers, unknownNotesPerWindow
	if m.latestIncarnation(id) != nil {
		budget, limit = &e.workers, workerNotesPerWindow
	}
	may, leftOut := budget.take(m.now, limit)
	if !may {
		return
	}
	if leftOut > 0 {
		reason += fmt.Sprintf("; %d other turns were not told", leftOut)
	}
	m.emit(Note{Decision: entryChangeMessages[turn], Worker: model.Incarnation{ID: id}, Reason: reason})
}

// TakeEntryCounts returns the counts, and begins those of turns anew.
func (m *Machine) TakeEntryCounts() EntryCounts {
	counts := EntryCounts{Unusable: m.entries.unusable, Changes: m.entries.turns}
	m.entries.turns = nil
	return counts
}
