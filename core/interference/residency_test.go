package interference

import (
	"testing"
	"time"
)

// TestResidentsFollowChanges guards against residents of an earlier question that are
// given again although a task has ended or the worker is gone since.
func TestResidentsFollowChanges(t *testing.T) {
	r := NewResidency(time.Minute)
	noisy := key("noisy", 1)
	r.TaskStarted(at(0), "w", noisy, "noisy")
	if found, _ := r.At("w", at(5)); len(found) != 1 || !found[0].StillRunning {
		t.Errorf("residents %v, want one that still runs", found)
	}
	r.TaskStopped(at(6), "w", noisy)
	if found, _ := r.At("w", at(5)); len(found) != 1 || found[0].StillRunning {
		t.Errorf("residents %v after the task has ended, want one that does not run", found)
	}
	r.DropWorker("w")
	if found, known := r.At("w", at(5)); known {
		t.Errorf("residents %v of a worker that is gone", found)
	}
}
