package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// workerRunning returns the worker on which a task runs.
func (c *cluster) workerRunning(key job.TaskKey) *fakeWorker {
	c.t.Helper()
	for on := range c.task(key).running {
		return c.workers[on]
	}
	c.t.Fatalf("%s does not run", key)
	return nil
}

// Two leaders gave the same number to two attempts of a task, and it was done
// twice. The first one had taken over, so that it began with number 17, and was
// lost before any record of the job was stored; the worker did the task and was
// cut off. The second one waited until the leases there had ended, stored that
// attempt 17 is a restart, and started it elsewhere. When the first worker told
// that attempt 17 was done, its number was not below that of the restart, and the
// end was acknowledged. The test fails by the cluster's own checks of each start
// and end, like the next one.
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
	worker.cutOff = true
	c.run(8 * time.Second)
	worker.cutOff = false
	c.run(3 * time.Second)
}

// A roster could not be read, and a worker that was out of reach had done a task
// without anybody hearing of it. Once all leases had ended the task was started
// elsewhere; the end was heard and acknowledged later, and counted beside the
// second one. The start was not stored first: that something may have been done
// unheard was taken in only where the bound of a worker on the roster had ended,
// and the lost roster named none.
func TestEndsThatALostRosterHid(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(1, 1000, 600*time.Millisecond))
	c.run(300 * time.Millisecond)
	ran := c.workerRunning(job.TaskKey{Job: id})
	ran.cutOff = true
	c.run(time.Second)
	c.rosterDamaged = true
	c.replaceLeader()
	c.run(12 * time.Second)
	ran.cutOff = false
	c.run(3 * time.Second)
}
