package jobsched

import (
	"testing"
	"time"
)

// TestFailuresFarApartDoNotQuarantineAWorker
//
// Symptom: a long-running task waited 20 s while a worker had room for it.
// Events: the worker has only long-running tasks, two of which fail by
// themselves, half a minute apart. Cause: failures counted until something was
// done there, and nothing ever was.
func TestFailuresFarApartDoNotQuarantineAWorker(t *testing.T) {
	var h health
	h.recordFailure(testEpoch)
	later := testEpoch.Add(30 * time.Second)
	h.recordFailure(later)
	if !h.isAvailable(later) || h.isOnProbation(later) {
		t.Error("the worker is closed")
	}
}

// TestQuarantineDoublesWithEachFailedProbation: a worker that goes on failing what it
// is probed with stays closed twice as long each time.
func TestQuarantineDoublesWithEachFailedProbation(t *testing.T) {
	var h health
	now := testEpoch
	h.recordFailure(now)
	h.recordFailure(now)
	for _, pause := range []time.Duration{firstQuarantine, 2 * firstQuarantine, 4 * firstQuarantine, maxQuarantine} {
		if h.isAvailable(now.Add(pause-time.Millisecond)) || !h.isAvailable(now.Add(pause)) {
			t.Errorf("not closed for %s", pause)
		}
		now = now.Add(pause + time.Second)
		if !h.isOnProbation(now) {
			t.Error("not on probation")
		}
		h.recordFailure(now)
	}
}
