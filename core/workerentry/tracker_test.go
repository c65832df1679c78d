package workerentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/model"
)

// known has one known worker, whose entry is usable.
func known(id model.WorkerID) bool { return id == "w" }

// TestChangesOfEntries checks what is noted and counted from one list to the next.
func TestChangesOfEntries(t *testing.T) {
	var tracker Tracker
	now := time.UnixMilli(0)
	update := func(unusable ...Unusable) string {
		text := ""
		for _, n := range tracker.Update(now, unusable, known, known) {
			text += fmt.Sprintf("%s %s %s;", n.Worker, n.Change, n.Reason)
		}
		return text
	}
	bad := []Unusable{{"w", NoCapacity}, {"x", BadAddress}}
	for i, step := range []struct {
		unusable []Unusable
		want     string
	}{
		{bad, "w unusable no capacity;x unusable bad address;"},
		{bad, ""},
		{nil, "w repaired was no capacity;x gone was bad address;"},
	} {
		if got := update(step.unusable...); got != step.want {
			t.Errorf("list %d: %q, want %q", i, got, step.want)
		}
	}
	counts := tracker.TakeCounts()
	if counts.Changes[BecameUnusable] != 2 || counts.Changes[Repaired] != 1 || counts.Changes[Gone] != 1 {
		t.Errorf("changes %v", counts.Changes)
	}
	if again := tracker.TakeCounts(); len(again.Changes) > 0 {
		t.Errorf("changes counted twice: %v", again.Changes)
	}
}

// TestManyUnknownEntriesHideNoKnownOne guards against a faulty writer whose entries use up
// memory or the log, so that a worker's own fault is not noted.
func TestManyUnknownEntriesHideNoKnownOne(t *testing.T) {
	var tracker Tracker
	var unusable []Unusable
	for i := range 10 * UnknownNotesPerWindow {
		unusable = append(unusable, Unusable{model.WorkerID(fmt.Sprint("x", i)), Unreadable})
	}
	unusable = append(unusable, Unusable{"w", NoLabels})
	notes := tracker.Update(time.UnixMilli(0), unusable, known, known)
	if len(notes) != MaxTrackedUnknown+1 || notes[len(notes)-1].Worker != "w" {
		t.Errorf("%d notes, want those of %d unknown entries and of the worker", len(notes), MaxTrackedUnknown)
	}
	if n := tracker.TakeCounts().Unusable[Unreadable]; n != 10*UnknownNotesPerWindow {
		t.Errorf("%d unreadable entries are counted", n)
	}
}
