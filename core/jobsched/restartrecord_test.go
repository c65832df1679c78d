package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// workerRunning returns the worker that runs the task.
func (c *cluster) workerRunning(key job.TaskKey) *fakeWorker {
	c.t.Helper()
	for on := range c.task(key).running {
		return c.workers[on]
	}
	c.t.Fatalf("%s does not run", key)
	return nil
}

// TestTwoLeadersNeverUseTheSameNumber guards against two leaders that give the same
// number to two attempts of a task. The first is lost before it recorded its
// attempt; the second counts that attempt's end as the end of its own, which has the
// same number. The cluster's checks of starts and ends find it, here and in the next
// test.
func TestTwoLeadersNeverUseTheSameNumber(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	c.storeDelay = 400 * time.Millisecond
	id := job.ID("0000000000000001")
	c.accepted[id] = &job.Accepted{
		Spec:  job.Spec{Payload: "p", Steps: []job.Step{makeStep(1, 1000, 3*time.Second)}},
		Queue: *c.config.Queues["batch"], ConfigVersion: 1, AcceptedAtMs: c.wall.UnixMilli(),
	}
	c.replaceLeader()
	for c.starts == 0 {
		c.tick()
	}
	c.run(50 * time.Millisecond)
	worker := c.workerRunning(job.TaskKey{Job: id})
	c.replaceLeader()
	c.storeDelay = 0
	worker.partitioned = true
	c.run(8 * time.Second)
	worker.partitioned = false
	c.run(3 * time.Second)
}

// newClusterWithLostTask returns a cluster of two workers, one of which was partitioned
// while it ran the only task of the returned job.
func newClusterWithLostTask(t *testing.T) (*cluster, job.ID, *fakeWorker) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(1, 1000, 600*time.Millisecond))
	c.run(300 * time.Millisecond)
	w := c.workerRunning(job.TaskKey{Job: id})
	w.partitioned = true
	c.run(time.Second)
	return c, id, w
}

// TestEndsThatALostRosterHid guards against a restart that is not stored first after
// the roster was lost. A task was done on an unreachable worker that no roster
// names; it is started again once all leases have ended, and both ends would count
// when the worker answers.
func TestEndsThatALostRosterHid(t *testing.T) {
	c, _, ran := newClusterWithLostTask(t)
	c.rosterDamaged = true
	c.replaceLeader()
	c.run(12 * time.Second)
	ran.partitioned = false
	c.run(3 * time.Second)
}
