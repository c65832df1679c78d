package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// repair makes the records of a damaged job readable and passes them to the leader.
func (c *cluster) repair(id job.ID) {
	delete(c.damaged, id)
	c.machine.Handle(c.now, JobReread{ID: id, Record: c.accepted[id], Progress: c.progress[id]})
}

// TestDamagedRecordsAtATakeOver guards against a leader that treats records that it
// cannot read as missing. Another writer damages the records of a job, or the
// roster, and the leader is lost. Then no daemon led, or the tasks of a job were
// stopped or run twice after the takeover.
func TestDamagedRecordsAtATakeOver(t *testing.T) {
	t.Run("running attempts continue, and no task is started", unreadableJobKeepsRunning)
	t.Run("a job continues once its records are repaired", unreadableJobIsRepaired)
	t.Run("ends are deferred until the job's records can be read", unreadableJobDefersEnds)
	t.Run("ends are deferred over another takeover", deferredEndsSurviveATakeover)
	t.Run("other jobs' ends are acknowledged", deferredEndsAreBounded)
	t.Run("a repaired job that was canceled stops", unreadableJobIsCanceled)
	t.Run("a job that is unreadable when it is accepted", unreadableJobAtAcceptance)
	t.Run("a job whose records are removed stops", unreadableJobIsRemoved)
	t.Run("a lost roster holds back recovered jobs", lostRoster)
	t.Run("a lost roster stays lost for the next leader", lostRosterTwice)
}

// newUnreadableJobCluster returns a cluster and a job with four running and four
// waiting tasks, whose records a new leader cannot read.
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

// runToCompletion checks that a job completes within 10 s, after the given number of
// starts in total.
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
	// Nothing is placed next to tasks of unknown size, so the other job needs a
	// worker of its own.
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
		t.Errorf("%d tasks run after %d starts, want 0 after 4", n, c.starts)
	}
	c.repair(id)
	c.runToCompletion(id, 8)
}

// deferredEndsSurviveATakeover checks that the ends of an unreadable job, which only
// its workers know, are not acknowledged: otherwise the next leader would start done
// tasks again.
func deferredEndsSurviveATakeover(t *testing.T) {
	c, id := newUnreadableJobCluster(t, 2*time.Second)
	c.run(5 * time.Second)
	c.replaceLeader()
	c.run(time.Second)
	c.repair(id)
	c.runToCompletion(id, 8)
}

// deferredEndsAreBounded checks that the ends of an unreadable job do not hold back
// those of other jobs for long. A worker reports 500 ends at a time, in order: if
// all were held back behind one of an unreadable job, the ends of other jobs would
// no longer be reported.
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
			t.Errorf("%s keeps %d unacknowledged ends", id, len(w.ended))
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
		t.Errorf("%d tasks run and the job is %s, want 0 and canceled", n, c.state(id))
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
		t.Errorf("%d tasks of a removed job run, want 0", n)
	}
}

// lostRoster checks a takeover with a lost roster during which the platform's list
// lacks all workers but one, as after an outage of the platform's store.
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

// lostRosterTwice checks that a roster written after a roster was lost and before
// all leases have ended, which lacks workers with running attempts, is not taken for
// complete. The next leader must start nothing before the first one would have.
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

// checkRosterIncomplete checks that a leader that reads the stored records now
// starts nothing before the given time.
func (c *cluster) checkRosterIncomplete(until time.Time) {
	if left := until.Sub(c.now); !c.rosterDamaged && c.rosterLostLeft < left {
		c.t.Errorf("the stored roster counts as incomplete for %s, want at least %s", c.rosterLostLeft, left)
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
