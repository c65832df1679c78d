package workersession_test

import (
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/workersession"
	"github.com/guavarill/guavarill/standin/worker"
)

// Symptom: a task runs on two workers at once, with agents of before.
// Events: the same worlds; the agents leave the hash unread.
// Cause: the owner takes an answer for a renewal that did not happen, or
// renews by hash alone what nobody renews by hash.
func TestOnePlaceAtATimeWithOldAgents(t *testing.T) {
	old := worker.Flaws{NoRenewHash: true}
	result, _ := check(propertyRuns/4, 1000, worldOptions(), old, asIs, allFaults()...)
	if !result.Passed() {
		t.Fatalf("%v: %v %v", result.Status, result.Labels, result.Args)
	}
}

// Symptom: tasks end though their owner and their worker hear each other.
// Events: tasks are evicted, with and without a checkpoint, also while the
// store is down and the order has to wait; the shard is released; agents
// restart; each takes the agent's set apart from the owner's.
// Cause: the owner goes on renewing by a hash that does not match.
func TestNothingEndsForWantOfARenewal(t *testing.T) {
	kinds := []faultKind{evictTask, dropTask, outageAll, releaseOwner, restartAgent}
	for _, flaws := range []worker.Flaws{{}, {NoRenewHash: true}} {
		byHash, mismatches, expired := 0, 0, 0
		for seed := range int64(30) {
			w := newWorld(seed, randomFaults(seed, kinds), worldOptions(), flaws)
			w.noise = 0
			w.run()
			if problem := w.verdict(); problem != "" {
				t.Fatalf("seed %d: %s", seed, problem)
			}
			for _, a := range w.agents {
				byHash += a.Stats().RenewedByHash
				mismatches += a.Stats().Mismatches
				expired += expiredUnasked(w, a)
			}
		}
		if expired != 0 {
			t.Errorf("%d leases ran out of attempts that nobody wanted to stop", expired)
		}
		if known := !flaws.NoRenewHash; known != (byHash > 1000) || known != (mismatches > 100) {
			t.Errorf("%d renewals by hash, %d mismatches: the worlds show nothing", byHash, mismatches)
		}
		t.Logf("%+v: %d renewals by hash, %d mismatches", flaws, byHash, mismatches)
	}
}

func randomFaults(seed int64, kinds []faultKind) []fault {
	rnd := rand.New(rand.NewSource(seed))
	var faults []fault
	for range maxFaults / 2 {
		faults = append(faults, fault{
			Kind:   kinds[rnd.Intn(len(kinds))],
			Target: rnd.Intn(worldTasks),
			At:     time.Duration(rnd.Int63n(int64(worldLength))),
			For:    time.Duration(rnd.Int63n(int64(12 * time.Second))),
		})
	}
	return faults
}

// expiredUnasked counts the attempts whose lease ran out on a and that no
// owner had given up.
func expiredUnasked(w *world, a *worker.Agent) int {
	n := 0
	for _, r := range a.Runs() {
		if r.End == worker.EndLeaseExpired && !w.dropped[attemptName(r.Task, r.Attempt)] {
			n++
		}
	}
	return n
}

// long is a task that does not end in a script's time.
func long(index uint32, kind workersession.Kind) workersession.DesiredTask {
	d := task(1, kind)
	d.Attempt.Task.Index = index
	d.Start.RunMillis = time.Hour.Milliseconds()
	return d
}

// Symptom: a task that runs well ends 30 s after another one could not be
// stopped, or the two ends' difference is never mended.
// Events: two tasks are renewed by hash; one is to stop while the store is
// down, so that the order waits; the agent's set differs. Then the store is
// back. Then the agent is replaced by one that has lost a task without
// restarting.
// Cause: a mismatch was not answered by the full list at once, or the owner did
// not return to the hash.
func TestMismatchIsAnsweredByFullList(t *testing.T) {
	s := newScript()
	p := begin(s, "owner", 5)
	p.want(long(0, workersession.Start), long(1, workersession.Start))
	p.answer()
	p.want(long(0, workersession.Keep), long(1, workersession.Keep))
	p.idle(12 * time.Second)
	s.note("the second is to stop, and the store is down")
	p.event(workersession.Permission{RenewOnly: true})
	p.want(long(0, workersession.Keep), long(1, workersession.Stop))
	p.idle(40 * time.Second)
	s.note("the store is back")
	p.full()
	p.want(long(0, workersession.Keep))
	p.idle(20 * time.Second)
	running := s.agent.Running()
	if len(running) != 1 || running[0].GetTask() != "ladder@1/0" {
		t.Errorf("%v runs", running)
	}
	golden(t, s)
}

// Symptom: an evicted task's lease ends while its progress is saved, or each
// eviction brings a mismatch.
// Events: two tasks are renewed by hash; one is to stop with a checkpoint, and a
// renewal goes with the order.
// Cause: what is renewed once more, and is told to stop in the same message, is
// left out of the names or taken into the set.
func TestStopWithCheckpointGoesWithNames(t *testing.T) {
	s := newScript()
	p := begin(s, "owner", 5)
	p.want(long(0, workersession.Start), long(1, workersession.Start))
	p.answer()
	p.want(long(0, workersession.Keep), long(1, workersession.Keep))
	p.idle(10 * time.Second)
	s.pass(3 * time.Second)
	evicted := long(1, workersession.Stop)
	evicted.Checkpoint = true
	p.want(long(0, workersession.Keep), evicted)
	sent := p.last()
	resp := p.arrive(sent)
	if len(sent.Req.GetCommands()) != 1 || len(sent.Req.GetRenew()) != 2 || !resp.GetRenewMatched() {
		t.Errorf("%v\n%s", resp, &s.text)
	}
	p.take(sent.ID, resp)
	p.want(long(0, workersession.Keep))
	s.pass(5 * time.Second)
	p.tick()
	next := p.last()
	if next.ID == sent.ID || len(next.Req.GetRenew()) != 0 || !p.arrive(next).GetRenewMatched() {
		t.Errorf("not renewed by hash afterwards\n%s", &s.text)
	}
}

// Symptom: a task runs here and elsewhere after a silence.
// Events: a renewal by hash is carried out and its answer is lost; its copies
// come later; nothing else is answered.
// Cause: only what was confirmed was counted for the bound.
func TestLostAnswerOfRenewalByHashCounts(t *testing.T) {
	s := newScript()
	p := begin(s, "owner", 5)
	p.want(long(0, workersession.Start))
	p.answer()
	p.want(long(0, workersession.Keep))
	p.idle(10 * time.Second)
	s.pass(5 * time.Second)
	p.tick()
	sent := p.last()
	if len(sent.Req.GetRenew()) != 0 || sent.Req.GetRenewHash() == 0 {
		t.Fatal("not renewed by hash", sent.Req)
	}
	p.arrive(sent)
	p.fail(sent.ID)
	bound, known := p.session.Bound(long(0, workersession.Keep).Attempt)
	s.pass(time.Second)
	p.tick()
	if retry := p.last(); retry.ID == sent.ID || len(retry.Req.GetRenew()) != 1 {
		t.Error("a failed call is not followed by the full list", retry.Req)
	}
	for len(s.agent.Running()) > 0 {
		s.pass(100 * time.Millisecond)
	}
	if !known || bound.Before(s.now) {
		t.Errorf("bound %v, ran until %v\n%s", bound, s.now, &s.text)
	}
}

// Symptom: a worker's tasks end after its agent was replaced by an older one.
// Events: an agent that renewed by hash answers as one that does not know it.
// Cause: an answer without confirmation was taken for a renewal.
func TestNoConfirmationIsAMismatch(t *testing.T) {
	s := newScript()
	p := begin(s, "owner", 5)
	p.want(long(0, workersession.Start))
	p.answer()
	p.want(long(0, workersession.Keep))
	p.idle(10 * time.Second)
	s.pass(5 * time.Second)
	p.tick()
	sent := p.last()
	resp := s.agent.Apply(sent.Req)
	resp.RenewMatched = false
	p.take(sent.ID, resp)
	if next := p.last(); next.ID == sent.ID || len(next.Req.GetRenew()) != 1 || !next.Req.GetWantReport() {
		t.Errorf("no full list at once\n%s", &s.text)
	}
}

// Symptom: the owner learns nothing of slowdowns between whole reports, or
// counts one measurement many times.
// Events: nothing changes for a minute; the agent measures every second.
// Cause: measurements are not asked for, or told by the wrong names.
func TestUsageBetweenReports(t *testing.T) {
	l := newLoop(benchTasks)
	reports, seen := 0, make(map[string]int)
	latest := int64(0)
	for begin := l.now; l.now.Sub(begin) < time.Minute; {
		send := l.untilSend()
		l.sent = nil
		if send.Req.GetWantReport() {
			reports++
		}
		if after := send.Req.GetUsageAfterUnixMillis(); send.Req.GetWantUsage() && after != latest {
			t.Errorf("asks for what came after %d, knows that of %d", after, latest)
		}
		ev := workersession.Answered{ID: send.ID, Resp: l.agent.Apply(send.Req), ReceivedAt: l.now}
		for _, c := range l.session.Step(l.now, ev) {
			if u, ok := c.(workersession.Usage); ok {
				seen[u.Attempt.String()]++
				latest = u.MeasuredAt.UnixMilli()
			}
		}
	}
	if reports > 2 || len(seen) != benchTasks {
		t.Errorf("%d whole reports in a minute, usage of %d tasks", reports, len(seen))
	}
	for name, n := range seen {
		if n < 5 || n > 7 || !strings.Contains(name, "reorder-service") {
			t.Errorf("%s: %d measurements in a minute", name, n)
		}
	}
}
