package jobsched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// TestCrashingTaskIsFoundAmongSharedTrials guards against a crashing task that is not
// given up, and innocent tasks that are, when trials share workers.
func TestCrashingTaskIsFoundAmongSharedTrials(t *testing.T) {
	const innocent = 20
	for _, after := range crashDelays {
		for _, wait := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("after %s/%s", wait, after), func(t *testing.T) {
				c := newCluster(t, 1, 8)
				c.keepFinalJobs()
				step := makeStep(1, 1000, 8*time.Second)
				step.Label = "late"
				crashing := c.submit(1, "batch", step)
				var jobs []job.ID
				for i := range innocent {
					jobs = append(jobs, c.submit(100+i, "batch", makeStep(2, 1000, 8*time.Second)))
				}
				c.tick()
				c.addEarlierCrashes(append(jobs, crashing))
				c.addCrasher(crashing, after)
				c.run(wait)
				for _, w := range c.workers {
					w.entry.Labels = append(w.entry.Labels, step.Label)
				}
				c.run(time.Minute)
				c.checkFoundAmong(crashing, jobs)
			})
		}
	}
}

// checkFoundAmong checks that a job whose task crashes its workers has failed, and that
// innocent jobs beside it are completed.
func (c *cluster) checkFoundAmong(crashing job.ID, innocent []job.ID) {
	if s := c.state(crashing); s != job.Failed {
		c.t.Errorf("the job that crashes its workers is %s after a minute, want failed", s)
	}
	// Two have crashed under it before; four are enough to give it up.
	if n := c.crashedBy(crashing); n > 2 {
		c.t.Errorf("%d workers have crashed, want at most 2", n)
	}
	for _, id := range innocent {
		if s := c.state(id); s != job.Completed {
			c.t.Errorf("job %s is %s, want completed: none of its tasks crashes workers", id, s)
		}
	}
}

// addEarlierCrashes makes two workers count as crashed under each task of the jobs, none
// of which has been started.
func (c *cluster) addEarlierCrashes(jobs []job.ID) {
	for s := range c.machine.pending.All() {
		for _, t := range s.tasks {
			if slices.Contains(jobs, s.job().id) && t.last == 0 {
				c.task(t.key()).crashesWhilePresent = 2
				t.last, t.crashes = 2, []job.Crash{{Attempt: 1}, {Attempt: 2}}
			}
		}
	}
}
