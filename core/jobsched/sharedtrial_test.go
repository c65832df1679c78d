package jobsched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/crashes"
	"github.com/guavarill/guavarill/core/job"
)

// TestCrashingTaskIsFoundAmongSharedTrials guards against a crashing task that is given
// up later, and innocent tasks that are given up, because trials share workers.
func TestCrashingTaskIsFoundAmongSharedTrials(t *testing.T) {
	// most is how many more workers the task may crash: as many as when it is tried alone.
	tests := []struct {
		name   string
		ranFor int64
		after  time.Duration
		most   int
	}{
		{"before a report", 0, 10 * time.Millisecond, crashes.Most - 2},
		{"at a late report", 2750, 3 * time.Second, crashes.Most - 2},
		{"before a report, then after one", 0, 3 * time.Second, crashes.Most - 2},
		{"not known, at once", job.ObservedRunUnknown, 10 * time.Millisecond, 2},
		{"not known, soon", job.ObservedRunUnknown, 400 * time.Millisecond, 2},
		{"not known, late", job.ObservedRunUnknown, 3 * time.Second, 2},
	}
	for _, test := range tests {
		for _, wait := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("%s/begins after %s", test.name, wait), func(t *testing.T) {
				playSharedTrials(t, test.ranFor, test.most, test.after, wait)
			})
		}
	}
}

// playSharedTrials plays innocent jobs and one whose task crashes its workers after some
// time, under each of which two workers have crashed at the given run time. The crashing
// task may begin after wait, and may crash at most most workers more.
func playSharedTrials(t *testing.T, ranForMs int64, most int, after, wait time.Duration) {
	const innocent = 20
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
	c.addEarlierCrashes(append(jobs, crashing), ranForMs)
	c.addCrasher(crashing, after)
	c.run(wait)
	for _, w := range c.workers {
		w.entry.Labels = append(w.entry.Labels, step.Label)
	}
	c.run(2 * time.Minute)
	c.checkFoundAmong(crashing, jobs, most)
}

// checkFoundAmong checks that a job whose task crashes its workers has failed, and that
// innocent jobs beside it are completed.
func (c *cluster) checkFoundAmong(crashing job.ID, innocent []job.ID, most int) {
	if s := c.state(crashing); s != job.Failed {
		c.t.Errorf("the job that crashes its workers is %s in the end, want failed", s)
	}
	if n := c.crashedBy(crashing); n > most {
		c.t.Errorf("%d workers have crashed, want at most %d", n, most)
	}
	for _, id := range innocent {
		if s := c.state(id); s != job.Completed {
			c.t.Errorf("job %s is %s, want completed: none of its tasks crashes workers", id, s)
		}
	}
}

// addEarlierCrashes makes two workers count as crashed, at the given run time, under each task of the jobs, none
// of which has been started.
func (c *cluster) addEarlierCrashes(jobs []job.ID, ranForMs int64) {
	for s := range c.machine.pending.All() {
		for _, t := range s.tasks {
			if slices.Contains(jobs, s.job().id) && t.last == 0 {
				c.task(t.key()).crashesWhilePresent = 2
				t.last, t.crashes = 2, []job.Crash{{Attempt: 1, ObservedRunMs: ranForMs}, {Attempt: 2, ObservedRunMs: ranForMs}}
			}
		}
	}
}

// TestCrashUnderATrialEndsSharing guards against many trials at a time after a worker
// crashed under one, or long after others passed.
func TestCrashUnderATrialEndsSharing(t *testing.T) {
	c := newCluster(t, 1, 8)
	c.keepFinalJobs()
	id := c.submit(1, "batch", makeStep(8, 1000, 8*time.Second))
	c.tick()
	c.addEarlierCrashes([]job.ID{id}, 0)
	c.run(3 * time.Second)
	if n := c.machine.maxIsolatedTrials(); n < 3 {
		t.Fatalf("%d isolated trials are permitted after some passed, want 3 or more", n)
	}
	task := c.machine.task(job.TaskKey{Job: id, Index: 7})
	c.machine.countCrash(task, job.Crash{Attempt: 3, Shared: true}, c.now)
	if n := c.machine.maxIsolatedTrials(); n != 1 {
		t.Errorf("%d isolated trials are permitted after a worker crashed under one, want 1", n)
	}
	c.run(30 * time.Second)
	if n := c.machine.maxIsolatedTrials(); n != 1 {
		t.Errorf("%d isolated trials are permitted after all have ended, want 1", n)
	}
}
