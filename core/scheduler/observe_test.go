package scheduler

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/quarantine"
)

func observe(task ledger.Task, kind ObservationKind, checkpoint string) []ledger.Change {
	ob := Observer{
		Ledger:      fakeLedger{task.Key: task},
		Evaluator:   quarantine.NewEvaluator(quarantine.DefaultOptions()),
		MaxAttempts: func(string) int { return 2 },
	}
	return ob.Observe(epoch, Observation{
		Attempt: model.AttemptKey{Task: task.Key, Attempt: 3}, Worker: "w0",
		Kind: kind, Checkpoint: checkpoint, Address: "a:1", Detail: "d",
	})
}

func TestObservationsChangeRecords(t *testing.T) {
	for _, c := range []struct {
		name    string
		from    ledger.State
		resume  bool
		service bool
		kind    ObservationKind
		want    ledger.State
	}{
		{"assigned runs", ledger.Assigned, false, false, ObservedRunning, ledger.Running},
		{"stopping still runs", ledger.Stopping, true, false, ObservedRunning, ledger.Stopping},
		{"batch succeeds", ledger.Running, false, false, ObservedSucceeded, ledger.Succeeded},
		{"batch succeeds while stopping", ledger.Stopping, true, false, ObservedSucceeded, ledger.Succeeded},
		{"service ends by itself", ledger.Running, false, true, ObservedSucceeded, ledger.Pending},
		{"fails", ledger.Running, false, false, ObservedFailed, ledger.Pending},
		{"fails while cancelled", ledger.Stopping, false, false, ObservedFailed, ledger.Cancelled},
		{"evicted", ledger.Stopping, true, false, ObservedStopped, ledger.Pending},
		{"cancelled", ledger.Stopping, false, false, ObservedStopped, ledger.Cancelled},
		{"lost", ledger.Running, false, false, ObservedLost, ledger.Pending},
		{"refused", ledger.Assigned, false, false, ObservedRefused, ledger.Pending},
	} {
		t.Run(c.name, func(t *testing.T) {
			task := ledger.Task{
				Key: model.TaskKey{Workload: "j", Generation: 1}, State: c.from, Resume: c.resume,
				Service: c.service, Attempt: 3, Worker: "w0", Checkpoint: "old",
			}
			got := task.State
			for _, change := range observe(task, c.kind, "") {
				if change.Put != nil {
					got = change.Put.State
					if got == ledger.Pending && (change.Put.Worker != "" || change.Put.Checkpoint != "old") {
						t.Errorf("pending record %+v", change.Put)
					}
				}
			}
			if got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

// Guards against an evicted task that starts from scratch or whose eviction is
// counted twice. The agent reports the end with the checkpoint and repeats the
// report; the repeat must not be applied to the changed record.
func TestEvictionResumesOnceFromItsCheckpoint(t *testing.T) {
	task := ledger.Task{
		Key: model.TaskKey{Workload: "j", Generation: 1}, State: ledger.Stopping, Resume: true,
		Attempt: 3, Worker: "w0", NotBefore: epoch.Add(time.Hour),
	}
	changes := observe(task, ObservedStopped, "half")
	if len(changes) != 1 {
		t.Fatalf("%d changes, want 1", len(changes))
	}
	after := *changes[0].Put
	if after.Checkpoint != "half" || after.Evictions != 1 || !after.NotBefore.IsZero() {
		t.Errorf("record after eviction: %+v", after)
	}
	if again := observe(after, ObservedStopped, "half"); again != nil {
		t.Errorf("the repeat makes %d changes", len(again))
	}
}

// Guards against a task being given up or restarted because of an earlier
// attempt. A late report names an attempt that is not the current one; it must
// be matched by attempt and worker, not by task alone.
func TestReportOfAnotherAttemptIsIgnored(t *testing.T) {
	for _, task := range []ledger.Task{
		{State: ledger.Running, Attempt: 4, Worker: "w0"},
		{State: ledger.Running, Attempt: 3, Worker: "w1"},
	} {
		task.Key = model.TaskKey{Workload: "j", Generation: 1}
		if changes := observe(task, ObservedLost, ""); changes != nil {
			t.Errorf("attempt %d on %s: %d changes", task.Attempt, task.Worker, len(changes))
		}
	}
}
