package workerentry

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/ordered"
)

// Change is a change of an entry of the platform's list.
type Change int

// The changes.
const (
	BecameUnusable Change = iota
	Repaired
	Gone
)

var changeNames = [...]string{"unusable", "repaired", "gone"}

// String returns the name of the change.
func (c Change) String() string {
	if c < 0 || int(c) >= len(changeNames) {
		return "invalid change"
	}
	return changeNames[c]
}

// Counts holds statistics of the entries of the platform's list.
type Counts struct {
	// Unusable counts the unusable entries of the last list by fault.
	Unusable map[Fault]int
	// Changes counts the changes since the counts were last taken.
	Changes map[Change]int
}

// Note is a change that is to be noted in the log.
type Note struct {
	Worker model.WorkerID
	Change Change
	Reason string
}

const (
	// MaxTrackedUnknown bounds how many unusable entries of unknown workers are
	// tracked individually: a faulty writer may leave ten thousand. Those of known
	// workers are all tracked; there are no more of them than workers.
	MaxTrackedUnknown = 64
	// noteWindow is the period in which at most UnknownNotesPerWindow changes of entries
	// of unknown workers are noted, and at most workerNotesPerWindow of those of known
	// workers. The bounds are separate so that many of the first do not hide any of the
	// second. A worker whose entry is damaged and repaired repeatedly would otherwise be
	// noted with every list.
	noteWindow            = 10 * time.Second
	UnknownNotesPerWindow = 80
	workerNotesPerWindow  = 200
)

// Tracker tracks the unusable entries across lists. Without it operators cannot see why a
// healthy worker gets no tasks: it answers calls, and its entry looks valid except for one
// field. Its zero value has seen no list. It is not safe for concurrent use.
type Tracker struct {
	tracked                   ordered.Map[model.WorkerID, Fault]
	unusable                  map[Fault]int
	changes                   map[Change]int
	unknownNotes, workerNotes noteBudget
}

// noteBudget limits the notes in each noteWindow.
type noteBudget struct {
	since         time.Time
	made, leftOut int
}

// take reports whether another note may be emitted, and how many were dropped since
// the last one.
func (b *noteBudget) take(now time.Time, limit int) (may bool, leftOut int) {
	if now.Sub(b.since) >= noteWindow {
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

// Update takes in the unusable entries of a list, and returns the changes to note. isKnown
// reports whether a worker is known by its id, isListed whether its entry is usable.
func (t *Tracker) Update(now time.Time, unusable []Unusable, isKnown, isListed func(model.WorkerID) bool) []Note {
	u := update{tracker: t, now: now, isKnown: isKnown, isListed: isListed}
	present := make(map[model.WorkerID]struct{}, len(unusable))
	t.unusable = make(map[Fault]int)
	for _, e := range unusable {
		present[e.ID] = struct{}{}
		t.unusable[e.Fault]++
	}
	unknown := u.dropUsable(present)
	for _, e := range unusable {
		switch {
		case t.tracked.Has(e.ID):
			t.tracked.Set(e.ID, e.Fault)
			continue
		case isKnown(e.ID):
		case unknown >= MaxTrackedUnknown:
			continue
		default:
			unknown++
		}
		t.tracked.Set(e.ID, e.Fault)
		u.changed(e.ID, BecameUnusable, e.Fault.String())
	}
	return u.notes
}

// Tracked returns how many unusable entries are tracked individually.
func (t *Tracker) Tracked() int { return t.tracked.Len() }

// TakeCounts returns the counts and resets those of changes.
func (t *Tracker) TakeCounts() Counts {
	counts := Counts{Unusable: t.unusable, Changes: t.changes}
	t.changes = nil
	return counts
}

// update is the state of one call of Tracker.Update.
type update struct {
	tracker           *Tracker
	now               time.Time
	isKnown, isListed func(model.WorkerID) bool
	notes             []Note
}

// dropUsable stops tracking the entries that are no longer unusable, and returns how many
// of the remaining ones belong to unknown workers.
func (u *update) dropUsable(unusable map[model.WorkerID]struct{}) (unknown int) {
	t := u.tracker
	for id, fault := range t.tracked.All() {
		if _, stillUnusable := unusable[id]; stillUnusable {
			if !u.isKnown(id) {
				unknown++
			}
			continue
		}
		t.tracked.Delete(id)
		change := Gone
		if u.isListed(id) {
			change = Repaired
		}
		u.changed(id, change, "was "+fault.String())
	}
	return unknown
}

// changed counts a change and notes it within the limits.
func (u *update) changed(id model.WorkerID, change Change, reason string) {
	t := u.tracker
	if t.changes == nil {
		t.changes = make(map[Change]int)
	}
	t.changes[change]++
	budget, limit := &t.unknownNotes, UnknownNotesPerWindow
	if u.isKnown(id) {
		budget, limit = &t.workerNotes, workerNotesPerWindow
	}
	may, leftOut := budget.take(u.now, limit)
	if !may {
		return
	}
	if leftOut > 0 {
		reason += fmt.Sprintf("; %d other changes were not noted", leftOut)
	}
	u.notes = append(u.notes, Note{Worker: id, Change: change, Reason: reason})
}
