package jobsched

import (
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
)

// A task that an earlier leader may have started waited without a word: no line,
// no metric and no view told that it waited, for which worker and until when, so
// that it could not be told from a job that nobody knew of.
func TestHeldStartsAreTold(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.keepNotes = true
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(6, 2000))
	c.run(time.Second)
	c.workers["w002"].cutOff = true
	c.replaceLeader()
	c.run(1500 * time.Millisecond)
	if n := c.machine.UnansweredWorkers(); n != 1 {
		t.Errorf("%d workers hold starts back, want 1", n)
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
		t.Errorf("the view says %q until %s, want w002 and a time to come", step.HeldBack, step.HeldUntil)
	}
}

// TestResumedJobsAreTold: the first start of a job that an earlier leader had is
// noted once, with the time since the take-over.
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
