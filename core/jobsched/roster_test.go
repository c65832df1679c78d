package jobsched

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// The roster that is stored says that nothing is started on a worker which was
// silent. The worker answers again while the store is away. A start there that no
// roster tells of would be unknown to the next leader, which waits for nothing on
// that worker, and its task would run twice.
func TestClosedWorkerGetsNoStartsBeforeARosterSaysSo(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.workers["w001"].entry.Labels = append(c.workers["w001"].entry.Labels, "b")
	c.run(200 * time.Millisecond)
	silent := c.workers["w001"]
	silent.cutOff = true
	c.run(4 * time.Second)
	c.storeDown = true
	silent.cutOff = false
	c.run(time.Second)
	only := makeStep(1, 1000, 300*time.Millisecond)
	only.Label = "b"
	id := c.submit(1, "batch", only)
	c.run(2 * time.Second)
	if c.starts != 0 {
		t.Errorf("%d starts on a worker that the stored roster has closed", c.starts)
	}
	c.restoreStore()
	c.run(2 * time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("state %s once the roster is stored, want completed", s)
	}
}

// The roster that is stored says how long leases last at most on a worker that has
// not answered a new leader. The worker answers while the store is away. A lease
// that outlasts that would outlast what the next leader reads, and what runs under
// it would be started elsewhere as well. Up to there the lease is renewed: the
// worker is well.
func TestLeaseIsNotRenewedBeyondWhatTheRosterSays(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	c.submit(1, "urgent", longRunning(4, 2000))
	c.run(time.Second)
	silent := c.workers["w001"]
	silent.cutOff = true
	c.replaceLeader()
	c.run(1500 * time.Millisecond)
	c.storeDown = true
	silent.cutOff = false
	lease, bound := silent.lease, c.machine.latestIncarnation("w001").leaseBound
	for range 3 {
		c.run(time.Second)
		if silent.lease.After(bound) {
			t.Errorf("the lease outlasts what the roster says by %s", silent.lease.Sub(bound))
		}
	}
	if !silent.lease.After(lease) || len(silent.attempts) == 0 {
		t.Errorf("%d attempts run on a worker that is well, the lease is renewed: %v", len(silent.attempts), silent.lease.After(lease))
	}
	c.restoreStore()
	c.run(time.Second)
	if !silent.lease.After(bound) {
		t.Error("the lease is not renewed once the roster is stored")
	}
}

// Tasks were done and their ends neither stored nor acknowledged when the lead was
// handed over, and the workers that had to tell of them were out of reach. They
// must not be started again: the ends count once they are heard.
func TestEndsThatAreNotStoredAreHandedOver(t *testing.T) {
	const tasks = maxCommitEntries + 8
	c := newCluster(t, 1, 5)
	c.run(200 * time.Millisecond)
	for i := range tasks {
		c.submit(1+i, "batch", makeStep(1, 1000, 400*time.Millisecond))
	}
	c.run(200 * time.Millisecond)
	c.storeDown = true
	c.run(time.Second)
	for _, w := range c.workers {
		w.cutOff = len(w.ended) > 0
	}
	c.workers["w004"].cutOff = false
	c.storeDown = false
	c.handOver()
	c.run(3 * time.Second)
	for _, w := range c.workers {
		w.cutOff = false
	}
	c.run(3 * time.Second)
	if c.starts != tasks {
		t.Errorf("%d starts, want %d", c.starts, tasks)
	}
}

// An attempt was given up because its worker had been silent for long, and the
// lead changed before its task was started again. The next leader must store that
// start first, as the one before would have: the end of the attempt may still come.
func TestAttemptsThatWereGivenUpAreHandedOver(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(1, 1000, 30*time.Second))
	c.run(time.Second)
	c.workers["w000"].cutOff = true
	c.run(20 * time.Second)
	c.handOver()
	key := job.TaskKey{Job: id}
	if !c.machine.task(key).attemptLost {
		t.Error("the next leader does not know that an attempt was given up")
	}
	if len(c.machine.latestIncarnation("w000").lost) != 1 {
		t.Error("the next leader would take a failure of that attempt for one that is not known")
	}
	if !c.machine.needsRestartRecord(c.machine.task(key)) {
		t.Error("the next leader would start the task again without storing that first")
	}
}

// The stored roster was older than the move of a task from a closed worker to
// another. The next leader heard of the later attempt first, and must not stop it
// for the sake of the earlier one.
func TestLaterAttemptSupersedesAnInheritedOne(t *testing.T) {
	for _, stands := range []bool{true, false} {
		t.Run(fmt.Sprint("roster stands: ", stands), func(t *testing.T) {
			c := newCluster(t, 1, 2)
			c.run(200 * time.Millisecond)
			id := c.submit(1, "urgent", longRunning(1, 2000))
			key := job.TaskKey{Job: id}
			c.roster = []RosterEntry{
				{WorkerEntry: c.workers["w000"].entry, Closed: true, Attempts: []RosterAttempt{{Task: key, Attempt: 1}}},
				{WorkerEntry: c.workers["w001"].entry},
			}
			c.rosterValid = stands
			c.replaceLeader()
			if held := c.machine.unresolved.Has(c.workers["w000"].entry.Incarnation); held == stands {
				t.Errorf("all that ran on the closed worker is unknown: %v", held)
			}
			report := Report{ClockMs: c.clock("w001"), Running: []RunningAttempt{{Key: key, Attempt: 2, Percent: 100}}}
			c.machine.Handle(c.now, Renewed{Worker: c.workers["w001"].entry.Incarnation, SentAt: c.now, Verdict: VerdictDone, Report: report})
			attempts := c.machine.task(key).attempts
			if len(attempts) != 1 || attempts[0].worker.id.ID != "w001" || attempts[0].phase != phaseRunning {
				t.Errorf("%d attempts, the first on %s in phase %d", len(attempts), attempts[0].worker.id, attempts[0].phase)
			}
		})
	}
}

// A roster has room for so many attempts. A worker whose attempts are left out is
// one on which anything may run; to call it closed would let its tasks run twice.
func TestWorkerWithTooManyAttemptsIsNotClosed(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	w := c.machine.latestIncarnation("w000")
	for i := range maxRosterAttempts + 1 {
		w.lost[attemptKey{task: job.TaskKey{Index: i}, attempt: 1}] = struct{}{}
	}
	last, _ := c.machine.HandOver(c.now, c.wall)
	for _, e := range last.Roster {
		if e.ID == "w000" && (e.Closed || len(e.Attempts) > 0) || e.ID == "w001" && !e.Closed {
			t.Errorf("%s closed: %v, with %d attempts", e.ID, e.Closed, len(e.Attempts))
		}
	}
}

// Workers that drained and ended all they ran have left, and answer nobody. A
// leader that knows so does not keep them on the roster until their last lease
// could have ended.
func TestDrainedWorkersLeaveTheRosterAtOnce(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.run(200 * time.Millisecond)
	c.submit(1, "urgent", longRunning(4, 2000))
	c.run(time.Second)
	c.drain(c.workers["w002"])
	c.run(2500 * time.Millisecond)
	c.depart(c.workers["w002"])
	c.run(time.Second)
	for _, e := range c.roster {
		if e.ID == "w002" {
			t.Error("a worker that has left is on the stored roster")
		}
	}
}

// Guards against a roster that a daemon of the version before cannot read: it knows
// workers by their ids alone.
func TestRosterNamesWorkersByTheirIDs(t *testing.T) {
	line, err := json.Marshal(RosterEntry{WorkerEntry: WorkerEntry{
		Incarnation: model.Incarnation{ID: "w", StartedMs: 5}, Address: "10.0.0.1:80",
	}})
	if err != nil {
		t.Fatal(err)
	}
	var before struct{ ID, Address string }
	if err := json.Unmarshal(line, &before); err != nil || before.ID != "w" || before.Address != "10.0.0.1:80" {
		t.Errorf("%s is read as %+v: %v", line, before, err)
	}
	var read RosterEntry
	if err := json.Unmarshal(line, &read); err != nil || read.StartedMs != 5 {
		t.Errorf("%s is read as %+v: %v", line, read, err)
	}
}
