package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// handOverAfterCommit hands the lead over as a daemon does: after the commit in
// flight.
func (c *cluster) handOverAfterCommit() {
	held := c.held
	c.held, c.storeDown = nil, false
	for _, e := range held {
		c.store(e)
		c.machine.Handle(c.now, Committed{Number: e.Number})
	}
	c.handOver()
}

// TestLaterRepetitionIsInherited guards against an inherited attempt that is dropped
// because it belongs to a later repetition than the first unrecorded one. Its task
// is then started again although it runs; the cluster's checks of starts and ends
// find that, here and in the next test.
func TestLaterRepetitionIsInherited(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.run(200 * time.Millisecond)
	for i := range 3 * maxCommitEntries {
		c.submit(100+i, "batch", makeStep(1, 100, 30*time.Second))
	}
	c.storeDown = true
	c.run(300 * time.Millisecond)
	id := job.ID("0000000000000001")
	c.accepted[id] = &job.Accepted{
		Spec: job.Spec{Payload: "p", Steps: []job.Step{makeStep(1, 7000, 20*time.Second)}, Schedule: &job.Schedule{
			StartMs: c.wall.UnixMilli(), IntervalMs: 1000, Repetitions: 2,
		}},
		Queue: *c.config.Queues["batch"], ConfigVersion: 1, AcceptedAtMs: c.wall.UnixMilli(),
	}
	c.machine.latestIncarnation("w000").noStartsUntil = c.now.Add(600 * time.Millisecond)
	c.machine.latestIncarnation("w002").noStartsUntil = c.now.Add(600 * time.Millisecond)
	c.machine.Handle(c.now, JobAccepted{ID: id, Record: c.accepted[id]})
	c.run(500 * time.Millisecond)
	c.machine.latestIncarnation("w002").noStartsUntil = c.now.Add(2 * time.Second)
	c.machine.latestIncarnation("w001").noStartsUntil = c.now.Add(2 * time.Second)
	c.run(900 * time.Millisecond)
	for k := range 2 {
		c.workerRunning(job.TaskKey{Job: id, Occurrence: k}).partitioned = true
	}
	c.run(100 * time.Millisecond)
	c.handOverAfterCommit()
	c.run(2 * time.Second)
}

// TestAttemptOfAJobSetAsideIsGivenUp guards against a restart that is not stored
// first after an attempt of an unreadable job was lost. Its records are repaired,
// the task restarts, and then the silent worker reports the earlier attempt as done:
// both ends would count.
func TestAttemptOfAJobSetAsideIsGivenUp(t *testing.T) {
	c, id, ran := newClusterWithLostTask(t)
	c.damaged[id] = true
	c.handOver()
	c.run(25 * time.Second)
	c.repair(id)
	c.run(3 * time.Second)
	ran.partitioned = false
	c.run(3 * time.Second)
}
