package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// repair makes the records of a damaged job readable and hands them to the leader.
func (c *cluster) repair(id job.ID) {
	delete(c.damaged, id)
	c.machine.Handle(c.now, JobReread{ID: id, Record: c.accepted[id], Progress: c.progress[id]})
}

// TestDamagedRecordsAtATakeOver
//
// Symptom: no daemon leads, or the tasks of a job are stopped or run twice after
// a take-over. Events: another writer damages the records of a job, or the
// roster; the leader is lost and another takes over. Cause: it took what it could
// not read for what is not there.
func TestDamagedRecordsAtATakeOver(t *testing.T) {
	t.Run("what runs of a job goes on, and nothing of it is started", unreadableJobKeepsRunning)
	t.Run("a job whose records are repaired goes on", unreadableJobIsRepaired)
	t.Run("ends wait for the job's records", unreadableJobDefersEnds)
	t.Run("ends wait over another take-over", deferredEndsSurviveATakeover)
	t.Run("other jobs' ends are acknowledged", deferredEndsAreBounded)
	t.Run("a repaired job that was canceled stops", unreadableJobIsCanceled)
	t.Run("a job that cannot be read when it comes", unreadableJobAtAcceptance)
	t.Run("a job whose records are removed stops", unreadableJobIsRemoved)
	t.Run("a lost roster holds recovered jobs back", lostRoster)
	t.Run("a lost roster stays lost for the next leader", lostRosterTwice)
}

// newUnreadableJobCluster has a job with four running tasks and four that wait, whose
// records a new leader cannot read.
func newUnreadableJobCluster(t *testing.T, took time.Duration) (*cluster, job.ID) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(4, 6000, took), makeStep(4, 6000, took, 0))
	c.run(time.Second)
	if n := c.runningOf(id); n != 4 {
		t.Fatalf("%d tasks run, want 4", n)
	}
	c.damaged[id] = true
	c.replaceLeader()
	return c, id
}

// runToCompletion checks that a job runToCompletion with as many starts as it has tasks.
func (c *cluster) runToCompletion(id job.ID, starts int) {
	c.t.Helper()
	c.run(10 * time.Second)
	if state := c.state(id); state != job.Completed || c.starts != starts {
		c.t.Errorf("job %s is %s after %d starts, want completed after %d", id, state, c.starts, starts)
	}
}

func unreadableJobKeepsRunning(t *testing.T) {
	c, id := newUnreadableJobCluster(t, 30*time.Second)
	c.run(10 * time.Second)
	if n := c.runningOf(id); n != 4 || c.starts != 4 {
		t.Errorf("%d tasks run after %d starts, want 4 after 4", n, c.starts)
	}
	// Nothing is put beside tasks of unknown size: the other job has a worker of
	// its own.
	c.addWorker(9)
	other := c.submit(2, "urgent", makeStep(1, 1000, 200*time.Millisecond))
	c.runToCompletion(other, 5)
}

func unreadableJobIsRepaired(t *testing.T) {
	c, id := newUnreadableJobCluster(t, 3*time.Second)
	c.run(time.Second)
	c.repair(id)
	c.runToCompletion(id, 8)
}

func unreadableJobDefersEnds(t *testing.T) {
	c, id := newUnreadableJobCluster(t, 2*time.Second)
	c.run(5 * time.Second)
	if n := c.runningOf(id); n != 0 || c.starts != 4 {
		t.Errorf("%d tasks run after %d starts, want none after 4", n, c.starts)
	}
	c.repair(id)
	c.runToCompletion(id, 8)
}

// The ends of a job that is set aside are known to its workers alone. Were they
// acknowledged, the next leader would start again what is done.
func deferredEndsSurviveATakeover(t *testing.T) {
	c, id := newUnreadableJobCluster(t, 2*time.Second)
	c.run(5 * time.Second)
	c.replaceLeader()
	c.run(time.Second)
	c.repair(id)
	c.runToCompletion(id, 8)
}

// A worker tells 500 ends at a time, in their order: were all held back behind
// one of a job that is set aside, those of other jobs would not be heard of.
func deferredEndsAreBounded(t *testing.T) {
	c, _ := newUnreadableJobCluster(t, 2*time.Second)
	c.run(5 * time.Second)
	const jobs = 600
	last := c.submit(100, "urgent", makeStep(jobs, 100, 20*time.Millisecond))
	c.run(20 * time.Second)
	if state := c.state(last); state != job.Completed {
		t.Errorf("the other job is %s", state)
	}
	for id, w := range c.workers {
		if len(w.ended) > maxDeferredEnds {
			t.Errorf("%s keeps %d ends", id, len(w.ended))
		}
	}
}

func unreadableJobIsCanceled(t *testing.T) {
	c, id := newUnreadableJobCluster(t, 30*time.Second)
	c.run(time.Second)
	canceled := *c.accepted[id]
	canceled.Canceled = true
	c.accepted[id] = &canceled
	c.repair(id)
	c.run(2 * time.Second)
	if n := c.runningOf(id); n != 0 || c.state(id) != job.Canceled {
		t.Errorf("%d tasks run, and the job is %s", n, c.state(id))
	}
}

func unreadableJobAtAcceptance(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	const id = job.ID("00000000000000aa")
	c.machine.Handle(c.now, JobUnreadable{ID: id})
	c.run(time.Second)
	c.accepted[id] = &job.Accepted{
		Spec:  job.Spec{Payload: "p", Steps: []job.Step{makeStep(2, 1000, 100*time.Millisecond)}},
		Queue: *c.config.Queues["urgent"], ConfigVersion: 1, AcceptedAtMs: c.wall.UnixMilli(),
	}
	c.repair(id)
	c.runToCompletion(id, 2)
}

func unreadableJobIsRemoved(t *testing.T) {
	c, id := newUnreadableJobCluster(t, 30*time.Second)
	c.run(time.Second)
	delete(c.accepted, id)
	delete(c.progress, id)
	c.repair(id)
	c.run(2 * time.Second)
	if n := c.runningOf(id); n != 0 {
		t.Errorf("%d tasks run of a job that is gone", n)
	}
}

// The platform's list lacks all workers but one when the leader takes over, as
// after an outage of the platform's store, and the roster is lost with them.
func lostRoster(t *testing.T) {
	c, id := newLostRoster(t)
	c.run(2 * time.Second)
	early := c.submit(2, "urgent", makeStep(1, 1000, 100*time.Millisecond))
	c.run(time.Second)
	if c.starts != 8 {
		t.Errorf("%d starts, want 8", c.starts)
	}
	c.checkRosterIncomplete(c.machine.earlierLeasesEnd())
	c.relist()
	c.run(12 * time.Second)
	if n := c.runningOf(id); n != 8 {
		t.Errorf("%d tasks run, want 8", n)
	}
	if state := c.state(early); state != job.Completed {
		t.Errorf("the later job is %s", state)
	}
	if c.rosterDamaged || len(c.roster) != 4 {
		t.Errorf("the stored roster has %d workers, damaged: %v", len(c.roster), c.rosterDamaged)
	}
}

// A roster that is written anew before all leases have ended lacks workers on which
// attempts run. The next leader must not take it for whole, and start nothing before
// the first one would have.
func lostRosterTwice(t *testing.T) {
	c, id := newLostRoster(t)
	bound := c.machine.earlierLeasesEnd()
	c.run(2 * time.Second)
	c.checkRosterIncomplete(bound)
	c.replaceLeader()
	for c.now.Before(bound) {
		c.run(100 * time.Millisecond)
		if c.starts != 8 {
			t.Fatalf("%d starts before all leases have ended, want 8", c.starts)
		}
	}
	c.relist()
	c.run(14 * time.Second)
	if n := c.runningOf(id); n != 8 {
		t.Errorf("%d tasks run, want 8", n)
	}
}

// checkRosterIncomplete checks that a leader which reads what is stored now starts
// nothing before the time given.
func (c *cluster) checkRosterIncomplete(until time.Time) {
	if left := until.Sub(c.now); !c.rosterDamaged && c.rosterLostLeft < left {
		c.t.Errorf("the stored roster is told to lack workers for %s, want %s at least", c.rosterLostLeft, left)
	}
}

func newLostRoster(t *testing.T) (*cluster, job.ID) {
	c := newCluster(t, 1, 4)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "urgent", longRunning(8, 2000))
	c.run(time.Second)
	for _, w := range c.workers {
		w.listed = false
	}
	c.workers["w003"].listed = true
	c.rosterDamaged = true
	c.replaceLeader()
	return c, id
}

func (c *cluster) relist() {
	for _, w := range c.workers {
		w.listed = true
	}
}
