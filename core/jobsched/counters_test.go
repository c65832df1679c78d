package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workerhealth"
)

// quickTask returns a step of one task that takes a tenth of a second.
func quickTask() job.Step {
	return job.Step{Count: 1, Size: model.Resources{MilliCPU: 1000, MemoryMB: 500}, EstimateMs: 100}
}

// TestRecordsOfEndedJobsGoWhileLeadersChange guards against records of final jobs
// that are never removed because their retention time restarts with each leader.
func TestRecordsOfEndedJobsGoWhileLeadersChange(t *testing.T) {
	c := newCluster(t, 1, 4)
	id := c.submit(1, "urgent", quickTask())
	c.run(5 * time.Second)
	if s := c.state(id); s != job.Completed {
		t.Fatal(s)
	}
	const term = 10 * time.Second
	kept := 5 * time.Second
	for ; c.progress[id] != nil; kept += term {
		if kept > c.options.KeepFinal+finalClockError+2*term {
			t.Fatalf("the record is still there after %s", kept)
		}
		c.replaceLeader()
		c.run(term)
	}
	if kept < c.options.KeepFinal {
		t.Errorf("the record is gone after %s", kept)
	}
}

// failuresAt returns how many attempts fail in half a minute on a worker that fails
// every task, while the leader is changed at intervals of every; 0 for never.
func failuresAt(t *testing.T, change func(*cluster), every time.Duration) int {
	c := newCluster(t, 1, 3)
	c.workers["w000"].failAll = true
	const day, gap = 30 * time.Second, 250 * time.Millisecond
	number := 0
	for passed := time.Duration(0); passed < day; passed += gap {
		for range 4 {
			number++
			c.submit(number, "batch", quickTask())
		}
		c.run(gap)
		if every > 0 && passed%every == 0 {
			change(c)
		}
	}
	failures := 0
	for _, truth := range c.truth {
		failures += len(truth.failed)
	}
	return failures
}

// TestFailingWorkerStaysClosedOverChangesOfTheLead guards against a failing worker
// that gets more tasks after each change of the leader because its failures are
// counted anew.
func TestFailingWorkerStaysClosedOverChangesOfTheLead(t *testing.T) {
	alone := failuresAt(t, nil, 0)
	for name, change := range map[string]func(*cluster){"planned": (*cluster).handOver, "lost": (*cluster).replaceLeader} {
		if n := failuresAt(t, change, 2*time.Second); n > alone+workerhealth.QuarantineAfter {
			t.Errorf("%s: %d attempts fail on the worker, %d while one daemon leads", name, n, alone)
		}
	}
}

// TestStepIsBlamedOnOneWorkerOverLeaders guards against a step that always fails and
// is counted as a failure of another worker under each leader.
func TestStepIsBlamedOnOneWorkerOverLeaders(t *testing.T) {
	c := newCluster(t, 1, 6)
	for _, w := range c.workers {
		w.failAll = true
	}
	step := quickTask()
	step.Count, step.EstimateMs = 4, 2000
	id := c.submit(1, "batch", step)
	c.run(3 * time.Second)
	c.replaceLeader()
	blamed := 0
	for c.state(id) != job.Failed {
		c.run(clusterTick)
		for _, w := range c.machine.workers.All() {
			blamed = max(blamed, w.health.Failures())
		}
	}
	if blamed > 0 {
		t.Errorf("%d failures are counted against a worker after the takeover, want none", blamed)
	}
}
