package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/joborder"
)

// TestPreparationOfLongRunningTasksIsNeverTooLate guards against a job that counts as
// useless for its caller because a short step precedes its long-running tasks: it has no
// end that could be late.
func TestPreparationOfLongRunningTasksIsNeverTooLate(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.run(time.Second)
	c.submit(1, "urgent", longRunning(1, 16000))
	c.run(time.Second)
	service := longRunning(1, 1000)
	service.After = []int{0}
	id := c.submit(2, "urgent", makeStep(1, 4000, 100*time.Millisecond), service)
	c.run(time.Minute)
	o := c.machine.jobs.Get(id).occurrences[0]
	if o.firstStartAt != (time.Time{}) {
		t.Fatal("the job found room")
	}
	if l := c.machine.lateness(o); l != joborder.InTime || o.outcomeCounted {
		t.Errorf("lateness %d, counted as not served %t", l, o.outcomeCounted)
	}
}
