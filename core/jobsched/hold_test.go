package jobsched

import (
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
)

// TestHeldStartsAreTold checks that a start that is held back because an earlier
// leader may have started the task is visible in a note, a metric and the view of
// the job, with the worker it waits for and the time until which it waits. Without
// them, the job cannot be told from one that the leader does not know.
func TestHeldStartsAreTold(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.keepNotes = true
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(6, 2000))
	c.run(time.Second)
	c.workers["w002"].partitioned = true
	c.replaceLeader()
	c.run(1500 * time.Millisecond)
	if n := c.machine.UnansweredWorkers(); n != 1 {
		t.Errorf("%d unanswered workers hold starts back, want 1", n)
	}
	noted := false
	for _, n := range c.notes {
		if n.Decision == joblog.MessageStartHeldBack && n.Job == id && n.Worker.ID == "w002" && strings.Contains(n.Reason, "until") {
			noted = true
		}
	}
	if !noted {
		t.Error("no note names the worker and the time")
	}
	view, _ := c.machine.Inspect(id)
	if step := view.Steps[0]; !strings.Contains(step.HeldBack, "w002") || !step.HeldUntil.After(c.now) {
		t.Errorf("the view has %q until %s, want w002 and a time in the future", step.HeldBack, step.HeldUntil)
	}
}

// TestResumedJobsAreTold checks that the first start of a job accepted under an
// earlier leader is noted once, with the time since the takeover.
func TestResumedJobsAreTold(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(2, 1000, 300*time.Millisecond), makeStep(2, 1000, 300*time.Millisecond, 0))
	c.run(100 * time.Millisecond)
	c.keepNotes = true
	c.replaceLeader()
	c.run(2 * time.Second)
	noted := 0
	for _, n := range c.notes {
		if n.Decision == joblog.MessageJobResumed && n.Job == id && n.Lag > 0 {
			noted++
		}
	}
	if noted != 1 {
		t.Errorf("noted %d times, want once", noted)
	}
}
