package workerhealth

import (
	"testing"
	"time"
)

var epoch = time.UnixMilli(1_700_000_000_000)

// TestFailuresFarApartDoNotQuarantineAWorker guards against failures that are
// counted, however far apart, until a task completes on the worker. A worker with
// only long-running tasks, which never complete, was quarantined after two of them
// failed by themselves half a minute apart, and a long-running task waited for 20 s
// although the worker had room.
func TestFailuresFarApartDoNotQuarantineAWorker(t *testing.T) {
	var h Health
	h.RecordFailure(epoch)
	later := epoch.Add(30 * time.Second)
	h.RecordFailure(later)
	if !h.IsAvailable(later) || h.IsOnProbation(later) {
		t.Error("the worker is quarantined")
	}
}

// TestQuarantineDoublesWithEachFailedProbation checks that the quarantine of a
// worker that fails its probation doubles each time, up to maxQuarantine.
func TestQuarantineDoublesWithEachFailedProbation(t *testing.T) {
	var h Health
	now := epoch
	h.RecordFailure(now)
	h.RecordFailure(now)
	for _, pause := range []time.Duration{firstQuarantine, 2 * firstQuarantine, 4 * firstQuarantine, maxQuarantine} {
		if h.IsAvailable(now.Add(pause-time.Millisecond)) || !h.IsAvailable(now.Add(pause)) {
			t.Errorf("not quarantined for exactly %s", pause)
		}
		now = now.Add(pause + time.Second)
		if !h.IsOnProbation(now) {
			t.Error("not on probation")
		}
		h.RecordFailure(now)
	}
}
