package workersession_test

import (
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/workersession"
	"github.com/guavarill/guavarill/standin/worker"
)

// TestOnePlaceAtATimeWithOldAgents guards against a task that runs on two workers
// at once with agents of an earlier version. The worlds are those of
// TestOnePlaceAtATime, but the agents ignore the hash. The fault would be to treat
// a response as a renewal that did not happen, or to renew by the hash alone.
func TestOnePlaceAtATimeWithOldAgents(t *testing.T) {
	old := worker.Flaws{NoRenewHash: true}
	result, _ := check(propertyRuns/4, 1000, worldOptions(), old, unchanged, allFaults()...)
	if !result.Passed() {
		t.Fatalf("%v: %v %v", result.Status, result.Labels, result.Args)
	}
}

// TestNothingEndsForWantOfARenewal guards against tasks whose leases expire although
// owner and worker reach each other, because the owner keeps renewing by a hash that
// does not match. Evictions, outages, releases and restarts make the two sets
// differ.
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
			t.Errorf("%d leases expired of attempts that were not to be stopped", expired)
		}
		if known := !flaws.NoRenewHash; known != (byHash > 1000) || known != (mismatches > 100) {
			t.Errorf("%d renewals by hash, %d mismatches: the worlds do not exercise the hash as expected", byHash, mismatches)
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

// expiredUnasked returns the number of attempts whose leases expired on a although
// no owner had stopped renewing them.
func expiredUnasked(w *world, a *worker.Agent) int {
	n := 0
	for _, r := range a.Runs() {
		if r.End == worker.EndLeaseExpired && !w.dropped[attemptName(r.Task, r.Attempt)] {
			n++
		}
	}
	return n
}

// long returns a task that does not end within a script.
func long(index uint32, kind workersession.Kind) workersession.DesiredTask {
	d := task(1, kind)
	d.Attempt.Task.Index = index
	d.Start.RunMillis = time.Hour.Milliseconds()
	return d
}

// TestMismatchIsAnsweredByFullList guards against a difference between owner and
// agent that is never repaired, with which healthy tasks end. After a hash that does
// not match, the owner must send the full list at once and return to the hash later.
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
		t.Errorf("running: %v, want only ladder@1/0", running)
	}
	golden(t, s)
}

// TestStopWithCheckpointGoesWithNames guards against the lease of an evicted task
// that expires while its checkpoint is saved, and against a mismatch after each
// eviction. Two tasks are renewed by hash. One is stopped with a checkpoint, and a
// renewal is in the same message. The fault would be to leave the stopped attempt,
// which is renewed once more, out of the names or to include it in the set.
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
	resp := p.execute(sent)
	if len(sent.Req.GetCommands()) != 1 || len(sent.Req.GetRenew()) != 2 || !resp.GetRenewMatched() {
		t.Errorf("%v\n%s", resp, &s.text)
	}
	p.take(sent.ID, resp)
	p.want(long(0, workersession.Keep))
	s.pass(5 * time.Second)
	p.tick()
	next := p.last()
	if next.ID == sent.ID || len(next.Req.GetRenew()) != 0 || !p.execute(next).GetRenewMatched() {
		t.Errorf("not renewed by hash afterwards\n%s", &s.text)
	}
}

// beginRenewal lets an owner start a task and renew it, and returns the owner and the
// last renewal, which the agent has not received.
func beginRenewal(s *script) (*peer, workersession.Send) {
	p := begin(s, "owner", 5)
	p.want(long(0, workersession.Start))
	p.answer()
	p.want(long(0, workersession.Keep))
	p.idle(10 * time.Second)
	s.pass(5 * time.Second)
	p.tick()
	return p, p.last()
}

// TestLostAnswerOfRenewalByHashCounts guards against a task that runs in two places
// after its worker became unreachable. A renewal by hash is executed, and its
// response is lost; nothing else is answered. The fault would be to extend the
// bound only for confirmed renewals.
func TestLostAnswerOfRenewalByHashCounts(t *testing.T) {
	s := newScript()
	p, sent := beginRenewal(s)
	if len(sent.Req.GetRenew()) != 0 || sent.Req.GetRenewHash() == 0 {
		t.Fatal("not renewed by hash", sent.Req)
	}
	p.execute(sent)
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

// TestNoConfirmationIsAMismatch guards against the end of a worker's tasks after
// its agent was replaced by an older version. An agent that renewed by hash responds
// like one that does not support it. The fault would be to treat a response without
// a confirmation as a renewal.
func TestNoConfirmationIsAMismatch(t *testing.T) {
	s := newScript()
	p, sent := beginRenewal(s)
	resp := s.agent.Apply(sent.Req)
	resp.RenewMatched = false
	p.take(sent.ID, resp)
	if next := p.last(); next.ID == sent.ID || len(next.Req.GetRenew()) != 1 || !next.Req.GetWantReport() {
		t.Errorf("no full list at once\n%s", &s.text)
	}
}

// TestUsageBetweenReports guards against missing or repeated usage measurements
// between full reports. Nothing changes for a minute, and the agent measures every
// second. The fault would be not to request measurements, or to assign them to the
// wrong attempts.
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
			t.Errorf("requests measurements after %d, but the latest known one is of %d", after, latest)
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
		t.Errorf("%d full reports in a minute, usage of %d tasks", reports, len(seen))
	}
	for name, n := range seen {
		if n < 5 || n > 7 || !strings.Contains(name, "reorder-service") {
			t.Errorf("%s: %d measurements in a minute", name, n)
		}
	}
}
