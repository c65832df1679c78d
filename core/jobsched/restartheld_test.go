package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// takeOverAsCrashedWorkerReturns returns a cluster whose only task crashed with its
// first worker and runs again on the returned one. The leader is lost before its roster
// tells of the second attempt, and the new one hears that the first worker has crashed
// 300 ms before it hears the second.
func takeOverAsCrashedWorkerReturns(t *testing.T) (*cluster, job.ID, *fakeWorker) {
	c := newCluster(t, 1, 4)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(1, 1000, 4*time.Second))
	key := job.TaskKey{Job: id}
	c.run(300 * time.Millisecond)
	first := c.workerRunning(key)
	first.crash()
	c.after(entryLife, func() { first.listed = false })
	for c.starts < 2 || len(c.task(key).running) == 0 {
		c.tick()
	}
	second := c.workerRunning(key)
	c.startSuccessor(first)
	second.partitioned = true
	c.replaceLeader()
	c.run(300 * time.Millisecond)
	second.partitioned = false
	return c, id, second
}

// checkDoneByTwoStarts checks that the job completes without a third start and that the
// end of its last attempt is acknowledged.
func (c *cluster) checkDoneByTwoStarts(id job.ID, last *fakeWorker) {
	c.t.Helper()
	c.run(8 * time.Second)
	if s := c.state(id); s != job.Completed || c.starts != 2 {
		c.t.Errorf("state %s after %d starts, want completed after 2", s, c.starts)
	}
	if n := len(last.ended); n > 0 {
		c.t.Errorf("%d ends are not acknowledged, want 0", n)
	}
}

// TestTaskSeenToRunIsNotStartedAgain guards against a task that is started again after
// its attempt is done, because the new leader had given up an earlier one before it
// heard the worker of the current one.
func TestTaskSeenToRunIsNotStartedAgain(t *testing.T) {
	c, id, second := takeOverAsCrashedWorkerReturns(t)
	c.checkDoneByTwoStarts(id, second)
}

// TestTaskSeenToRunIsNotStartedAgainByLaterLeader guards against the same where that
// leader is lost before the attempt is done.
func TestTaskSeenToRunIsNotStartedAgainByLaterLeader(t *testing.T) {
	c, id, second := takeOverAsCrashedWorkerReturns(t)
	c.run(200 * time.Millisecond)
	c.replaceLeader()
	c.checkDoneByTwoStarts(id, second)
}
