package jobsched

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// TestClosedWorkerGetsNoStartsBeforeARosterSaysSo guards against starts on a worker
// that the stored roster has as closed. The worker was unreachable and answers again
// while the store is unavailable. The next leader would not know of a start there
// and would not wait for the worker, so that the task would run twice.
func TestClosedWorkerGetsNoStartsBeforeARosterSaysSo(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.workers["w001"].entry.Labels = append(c.workers["w001"].entry.Labels, "b")
	c.run(200 * time.Millisecond)
	silent := c.workers["w001"]
	silent.partitioned = true
	c.run(4 * time.Second)
	c.storeDown = true
	silent.partitioned = false
	c.run(time.Second)
	only := makeStep(1, 1000, 300*time.Millisecond)
	only.Label = "b"
	id := c.submit(1, "batch", only)
	c.run(2 * time.Second)
	if c.starts != 0 {
		t.Errorf("%d starts on a worker that is closed on the stored roster", c.starts)
	}
	c.restoreStore()
	c.run(2 * time.Second)
	if s := c.state(id); s != job.Completed {
		t.Errorf("state %s once the roster is stored, want completed", s)
	}
}

// TestLeaseIsNotRenewedBeyondWhatTheRosterSays guards against leases that outlast
// the bound in the stored roster. A worker answers a new leader while the store is
// away; if its lease is renewed beyond the bound, the next leader starts its tasks
// elsewhere while they run.
func TestLeaseIsNotRenewedBeyondWhatTheRosterSays(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.run(200 * time.Millisecond)
	c.submit(1, "urgent", longRunning(4, 2000))
	c.run(time.Second)
	silent := c.workers["w001"]
	silent.partitioned = true
	c.replaceLeader()
	c.run(1500 * time.Millisecond)
	c.storeDown = true
	silent.partitioned = false
	lease, bound := silent.lease, c.machine.latestIncarnation("w001").leaseBound
	for range 3 {
		c.run(time.Second)
		if silent.lease.After(bound) {
			t.Errorf("the lease outlasts its bound on the roster by %s", silent.lease.Sub(bound))
		}
	}
	if !silent.lease.After(lease) || len(silent.attempts) == 0 {
		t.Errorf("%d attempts run on a healthy worker, lease renewed: %v", len(silent.attempts), silent.lease.After(lease))
	}
	c.restoreStore()
	c.run(time.Second)
	if !silent.lease.After(bound) {
		t.Error("the lease is not renewed once the roster is stored")
	}
}

// TestEndsThatAreNotStoredAreHandedOver guards against tasks that are started again
// although they are done. Their ends were neither stored nor acknowledged when the
// lead was handed over, and the workers that keep the ends are unreachable. The ends
// count once they are received.
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
		w.partitioned = len(w.ended) > 0
	}
	c.workers["w004"].partitioned = false
	c.storeDown = false
	c.handOver()
	c.run(3 * time.Second)
	for _, w := range c.workers {
		w.partitioned = false
	}
	c.run(3 * time.Second)
	if c.starts != tasks {
		t.Errorf("%d starts, want %d", c.starts, tasks)
	}
}

// TestAttemptsThatWereGivenUpAreHandedOver guards against a restart that is not
// stored first after a change of the leader. An attempt was declared lost because
// its worker was unreachable for long, and the leader changes before the task is
// started again. The next leader must store the restart first, as the previous one
// would have, because the end of the lost attempt may still be reported.
func TestAttemptsThatWereGivenUpAreHandedOver(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.run(200 * time.Millisecond)
	id := c.submit(1, "batch", makeStep(1, 1000, 30*time.Second))
	c.run(time.Second)
	c.workers["w000"].partitioned = true
	c.run(20 * time.Second)
	c.handOver()
	key := job.TaskKey{Job: id}
	if !c.machine.task(key).attemptLost {
		t.Error("the next leader does not know that an attempt was lost")
	}
	if len(c.machine.latestIncarnation("w000").lost) != 1 {
		t.Error("the next leader does not know the lost attempt and would not recognize its failure")
	}
	if !c.machine.needsRestartRecord(c.machine.task(key)) {
		t.Error("the next leader would start the task again without storing the restart first")
	}
}

// TestLaterAttemptSupersedesAnInheritedOne guards against a leader that stops a
// later attempt in favor of an earlier one. The stored roster is older than the move
// of a task from a closed worker to another, and the next leader receives the report
// of the later attempt first.
func TestLaterAttemptSupersedesAnInheritedOne(t *testing.T) {
	for _, stands := range []bool{true, false} {
		t.Run(fmt.Sprint("roster valid: ", stands), func(t *testing.T) {
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
				t.Errorf("the attempts on the closed worker are unknown: %v", held)
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

// TestWorkerWithTooManyAttemptsIsNotClosed guards against a worker that is closed on
// the roster although it has more attempts than the roster can hold: the tasks of
// the omitted attempts would run twice.
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

// TestDrainedWorkersLeaveTheRosterAtOnce guards against workers that stay on the
// roster until their last lease could have ended, although the leader knows that
// they have drained, run nothing any more and have left.
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

// TestRosterNamesWorkersByTheirIDs guards against a roster that a daemon of the
// previous version cannot read: it identifies workers by their ids alone.
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
