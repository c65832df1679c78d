package workersession_test

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/guavarill/guavarill/core/workersession"
	"github.com/guavarill/guavarill/standin/worker"
)

const (
	propertyRuns = 200
	// maxDetectionRuns is the number of worlds within which a flaw must be detected.
	maxDetectionRuns = 1000
	maxFaults        = 40
)

func unchanged(*world) {}
func noProof(w *world) { w.skipProof = true }

// allFaults returns every kind of fault.
func allFaults() []faultKind {
	var kinds []faultKind
	for k := range faultKinds {
		kinds = append(kinds, k)
	}
	return kinds
}

// genFaults generates up to maxFaults faults of the given kinds.
func genFaults(kinds ...faultKind) gopter.Gen {
	one := gopter.CombineGens(
		gen.IntRange(0, len(kinds)-1),
		gen.IntRange(0, 5),
		gen.Int64Range(0, int64(worldLength)),
		gen.Int64Range(0, int64(12*time.Second)),
	).Map(func(v []interface{}) fault {
		return fault{
			Kind:   kinds[v[0].(int)],
			Target: v[1].(int),
			At:     time.Duration(v[2].(int64)),
			For:    time.Duration(v[3].(int64)),
		}
	})
	return gen.SliceOf(one)
}

// check runs worlds with random faults. It returns the result of gopter and the
// number of attempts that were started.
func check(
	runs, shrink int,
	opt workersession.Options,
	flaws worker.Flaws,
	change func(*world),
	kinds ...faultKind,
) (*gopter.TestResult, int) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = runs
	params.MaxSize = maxFaults
	params.MaxShrinkCount = shrink
	params.Rng = rand.New(rand.NewSource(20260307))
	starts := 0
	property := prop.ForAll(func(seed int64, faults []fault) string {
		w := newWorld(seed, faults, opt, flaws)
		change(w)
		w.run()
		starts += w.starts
		return w.verdict()
	}, gen.Int64(), genFaults(kinds...))
	return property.Check(params), starts
}

// verdict returns the problem found in a world after its run, or "".
func (w *world) verdict() string {
	if w.problem != "" {
		return w.problem
	}
	for _, v := range worker.Audit(w.agents...) {
		return v.String()
	}
	for _, row := range w.ledger {
		if !row.running {
			return row.attemptKey().String() + " does not run after the faults ended"
		}
	}
	return ""
}

// TestOnePlaceAtATime guards against a task that runs on two workers at once and an
// attempt that starts twice: because the next attempt is committed before the
// previous one is over, or an agent accepts what it should refuse. Owners, daemons,
// messages, agents and clocks fail at random.
func TestOnePlaceAtATime(t *testing.T) {
	result, starts := check(propertyRuns, 1000, worldOptions(), worker.Flaws{}, unchanged, allFaults()...)
	if !result.Passed() {
		t.Fatalf("%v: %v %v", result.Status, result.Labels, result.Args)
	}
	if starts < propertyRuns*worldTasks {
		t.Fatalf("only %d starts: the worlds do not exercise the protocol", starts)
	}
}

// TestPropertyNoticesEachMechanism checks that the property of TestOnePlaceAtATime
// fails if any one mechanism of the protocol is left out, to guard against a test
// that cannot fail.
func TestPropertyNoticesEachMechanism(t *testing.T) {
	noMargin := worldOptions()
	noMargin.Margin = time.Nanosecond
	cases := []struct {
		name   string
		opt    workersession.Options
		flaws  worker.Flaws
		change func(*world)
		kinds  []faultKind
	}{
		{"lease counted from receipt", worldOptions(), worker.Flaws{LeaseFromReceipt: true}, unchanged, allFaults()},
		{"epoch not checked", worldOptions(), worker.Flaws{IgnoreEpoch: true}, unchanged, []faultKind{evictTask, releaseOwner}},
		{"stops and ends not remembered", worldOptions(), worker.Flaws{ForgetStops: true}, unchanged, []faultKind{evictTask}},
		{"renewed though the hash differs", worldOptions(), worker.Flaws{RenewOnMismatch: true}, unchanged, []faultKind{dropTask, outageAll}},
		{"bound without margin", noMargin, worker.Flaws{}, unchanged, allFaults()},
		{
			"predecessor's end not proved", worldOptions(), worker.Flaws{}, noProof,
			[]faultKind{outageOwner, cutSuccessors, splitHosts},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			result, _ := check(maxDetectionRuns, 1, c.opt, c.flaws, c.change, c.kinds...)
			if result.Passed() {
				t.Fatal("the property holds without the mechanism")
			}
			t.Log(result.Labels, result.Args)
		})
	}
}

// countProblems runs 20 worlds with the given faults and returns the number of worlds in
// which a problem was found.
func countProblems(faults []fault, opt workersession.Options, change func(*world)) int {
	problems := 0
	for seed := range int64(20) {
		w := newWorld(seed, faults, opt, worker.Flaws{})
		change(w)
		w.run()
		if w.verdict() != "" {
			problems++
		}
	}
	return problems
}

// TestPredecessorRenewsThroughAnOutage guards against a task that runs twice after
// an outage for a part of the daemons. The old owner goes on renewing, and the new
// one cannot reach the worker: it must wait until its predecessor has certainly
// stopped, and must not release the shard as clean before.
func TestPredecessorRenewsThroughAnOutage(t *testing.T) {
	outage := []fault{
		{Kind: outageOwner, Target: 2, At: 10 * time.Second, For: 30 * time.Second},
		{Kind: cutSuccessors, Target: 1, At: 10 * time.Second, For: 40 * time.Second},
	}
	released := append(slices.Clone(outage), fault{Kind: releaseOwner, At: 15 * time.Second})
	ended := []fault{
		{Kind: flapHost, Target: 0, At: 10 * time.Second, For: 8 * 30 * time.Second},
		{Kind: flapHost, Target: 2, At: 10 * time.Second, For: 8 * 6 * time.Second},
		{Kind: flapHost, Target: 3, At: 10 * time.Second, For: 8 * 6 * time.Second},
		{Kind: cutSuccessors, Target: 1, At: 10 * time.Second, For: 40 * time.Second},
		{Kind: splitHosts, At: 16 * time.Second, For: 30 * time.Second},
	}
	noGrace := worldOptions()
	noGrace.OutageGrace = time.Nanosecond
	eagerClean := func(w *world) { w.eagerClean = true }
	cases := []struct {
		name   string
		faults []fault
		opt    workersession.Options
		change func(*world)
		broken bool
	}{
		{"proof is awaited", outage, worldOptions(), unchanged, false},
		{"proof is left out", outage, worldOptions(), noProof, true},
		{"release vouches with the proof", released, worldOptions(), unchanged, false},
		{"release vouches at once", released, worldOptions(), eagerClean, true},
		{"grace is in the proof", ended, worldOptions(), unchanged, false},
		{"grace is left out of the proof", ended, noGrace, unchanged, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			problems := countProblems(c.faults, c.opt, c.change)
			t.Logf("problems in %d of 20 worlds", problems)
			if (problems > 0) != c.broken {
				t.Fail()
			}
		})
	}
}

// TestOutageOfAnHourEndsNothing guards against tasks that end in a long store outage.
// The store is down for all daemons for an hour and then returns. The fault would be a
// limit on how long an owner renews without a lease.
func TestOutageOfAnHourEndsNothing(t *testing.T) {
	outage := []fault{{Kind: outageAll, At: 10 * time.Second, For: time.Hour}}
	w := newWorld(1, outage, worldOptions(), worker.Flaws{})
	w.noise = 0
	w.length = time.Hour + time.Minute
	w.run()
	if problem := w.verdict(); problem != "" {
		t.Fatal(problem)
	}
	if w.starts != worldTasks || len(w.old) > 0 {
		t.Errorf("%d starts of %d tasks, %d takeovers", w.starts, worldTasks, len(w.old))
	}
}

// TestZoneLostWithOwnerAndWorker guards against tasks that wait much longer than their
// lease when their worker is lost together with its owner. Two of five daemons,
// including the owner, and one of two workers are lost at once. The fault would be a
// new owner that allows for renewals by the old one through an outage although a
// majority confirms that there is none.
func TestZoneLostWithOwnerAndWorker(t *testing.T) {
	for seed := range int64(20) {
		w := newWorld(seed, nil, worldOptions(), worker.Flaws{})
		w.noise = 0
		w.length = 10 * time.Second
		w.run()
		lost := w.now
		for i := range 2 {
			w.hosts[i].pausedUntil = lost.Add(time.Hour)
		}
		w.partitions[1] = partition{until: lost.Add(time.Hour)}
		// After that time, one round of exchanges with a majority is needed.
		wait := storeLease + w.opt.PredecessorExpiry() + 6*worldPeriod
		w.length += wait
		w.run()
		if w.problem != "" || w.committed(1) > 0 || len(w.old) != 1 {
			t.Errorf("seed %d: %s after the loss %d tasks are committed to the lost worker, %d takeovers %s",
				seed, wait, w.committed(1), len(w.old), w.problem)
		}
	}
}
