package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// crasher describes which tasks of a job crash the worker that starts them, and how
// long after the start.
type crasher struct {
	// tasks holds the task indexes in the first step; empty for all.
	tasks []int
	after time.Duration
}

const (
	// crashedBeforeCount is how many workers a task must have crashed before its
	// further starts are counted. furtherStarts is the number of further starts that
	// is one too many.
	crashedBeforeCount = 3
	furtherStarts      = 3
)

// addCrasher makes tasks of a job crash their workers.
func (c *cluster) addCrasher(id job.ID, after time.Duration, tasks ...int) {
	c.crashers[id] = crasher{tasks: tasks, after: after}
}

// isCrasher reports whether a task crashes its workers.
func (c *cluster) isCrasher(key job.TaskKey) bool {
	g, ok := c.crashers[key.Job]
	return ok && key.Step == 0 && (len(g.tasks) == 0 || slices.Contains(g.tasks, key.Index))
}

func (c *cluster) isCrashDue(a *fakeAttempt) bool {
	return c.isCrasher(a.key.task) && c.now.Sub(a.begun) >= c.crashers[a.key.task.Job].after
}

func (c *cluster) crashWorker(w *fakeWorker, a *fakeAttempt) {
	c.task(a.key.task).crashed++
	c.restart(w)
}

// checkCrashes checks a start against the number of workers that the task has
// crashed.
func (c *cluster) checkCrashes(key job.TaskKey, truth *taskTruth) {
	if truth.crashed < crashedBeforeCount {
		return
	}
	truth.startsAfterLimit++
	if truth.startsAfterLimit == furtherStarts {
		c.t.Errorf("%s: %s is started %d times after %d workers have crashed under it", c.now.Sub(testEpoch), key, furtherStarts, crashedBeforeCount)
	}
}

// waitsForTrial reports whether the task may be waiting for the record of its trial
// to be stored, or for another trial.
func (m *Machine) waitsForTrial(t *task) bool { return m.needsTrial(t) || t.trial.number > 0 }

// crashedTwice reports whether two workers have crashed while running the same task
// of the job, so that the job may fail.
func (c *cluster) crashedTwice(id job.ID) bool {
	for key, truth := range c.truth {
		if key.Job == id && truth.crashesWhilePresent >= 2 {
			return true
		}
	}
	return false
}

// crashedBy counts the workers that tasks of a job have crashed.
func (c *cluster) crashedBy(id job.ID) int {
	n := 0
	for key, truth := range c.truth {
		if key.Job == id {
			n += truth.crashed
		}
	}
	return n
}
