package routing

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const bad = "10.0.0.3:80"

func resultOnBad(r Result) func(string) Result {
	return func(address string) Result {
		if address == bad {
			return r
		}
		return usualResult(address)
	}
}

func TestNewTargetsStartWithOneRequest(t *testing.T) {
	x := newFixture(t, targets(2, 4))
	first, _ := x.pick(Query{})
	second, _ := x.pick(Query{})
	if _, ok := x.pick(Query{}); ok || first.Address() == second.Address() {
		t.Fatal("a new target got a second request before its first response")
	}
	first.Done(x.now, Result{Latency: usual})
	second.Done(x.now, Result{Latency: usual})
	x.serve(20, usualResult)
	if free := x.b.Free(); free != 8 {
		t.Errorf("%d of 8 slots are free after 20 responses", free)
	}
}

// If the latency assumed of untried targets were above the measured ones, at
// low load one instance that responds quickly would receive all requests and
// the others none, and the assumption would never be tested.
func TestUnprovenTargetsAreTried(t *testing.T) {
	x := newFixture(t, targets(4, 4))
	served := x.serve(100, func(string) Result { return Result{Latency: time.Millisecond / 4} })
	for _, target := range targets(4, 4) {
		if served[target.Address] < minSamples {
			t.Errorf("%s got %d of 100 requests", target.Address, served[target.Address])
		}
	}
}

// The list of targets may be outdated and still show an instance that is known
// to be shutting down. A target marked as leaving must receive no new requests,
// whatever the list shows for the same attempt.
func TestLeavingGetsNothingNew(t *testing.T) {
	x := newFixture(t, targets(2, 2))
	x.serve(20, usualResult)
	running, _ := x.pick(Query{})
	leaving := running.Address()
	x.b.MarkLeaving(leaving)
	if n := x.serve(50, usualResult)[leaving]; n != 0 {
		t.Errorf("%d requests went to a leaving target", n)
	}
	running.Done(x.now, Result{Latency: usual})
	x.b.Update(x.now, targets(2, 2))
	if n := x.serve(50, usualResult)[leaving]; n != 0 {
		t.Errorf("%d requests went to a leaving target after an update", n)
	}
	replaced := targets(2, 2)
	for i := range replaced {
		replaced[i].Task.Attempt = 2
	}
	x.b.Update(x.now, replaced)
	if n := x.serve(50, usualResult)[leaving]; n == 0 {
		t.Error("the next attempt at the address got no requests")
	}
}

func TestUnlistedGetsNothingNew(t *testing.T) {
	x := newFixture(t, targets(2, 2))
	c, _ := x.pick(Query{})
	x.b.Update(x.now, nil)
	if _, ok := x.pick(Query{Ahead: 1000}); ok || x.b.Slots() != 0 {
		t.Error("an unlisted target was picked")
	}
	c.Done(x.now, Result{Latency: usual})
	c.Done(x.now, Result{Latency: usual})
	if n := x.b.Free(); n != 0 {
		t.Errorf("%d slots are free without a target", n)
	}
}

// A target that becomes ten times slower must not determine the tail latency of
// the service, which happens when targets are chosen by free slots alone. Once
// it is fast again it must be used again.
func TestSlowTargetIsAvoidedAndRestored(t *testing.T) {
	x := newFixture(t, targets(8, 2))
	x.serve(400, usualResult)
	slow := x.serve(800, resultOnBad(Result{Latency: 10 * usual}))
	if slow[bad] > 12 {
		t.Errorf("%d of 800 requests went to the slow target", slow[bad])
	}
	if s := x.state(bad).State; s == Healthy {
		t.Fatalf("the slow target is %v", s)
	}
	x.serve(6000, usualResult)
	if s := x.state(bad).State; s != Healthy {
		t.Errorf("the target is %v long after it recovered", s)
	}
	if n := x.serve(800, usualResult)[bad]; n < 20 {
		t.Errorf("%d of 800 requests went to the recovered target", n)
	}
}

// A slot on a slow target is better than a long wait and worse than a short
// one.
func TestSlowTargetServesALongQueue(t *testing.T) {
	x := newFixture(t, targets(8, 1))
	x.serve(400, usualResult)
	for range 7 {
		if _, ok := x.pick(Query{Avoid: []string{bad}}); !ok {
			t.Fatal("no quick target is free")
		}
	}
	x.serve(20, resultOnBad(Result{Latency: 4 * usual}))
	if s := x.state(bad).State; s != Slow {
		t.Fatalf("the target is %v", s)
	}
	if _, ok := x.pick(Query{}); ok {
		t.Error("the slow target was picked though a fast one is free soon")
	}
	if c, ok := x.pick(Query{Ahead: 10}); !ok || c.Address() != bad {
		t.Error("the slow target was not picked for a long queue")
	}
}

func TestFailingTargetIsEjected(t *testing.T) {
	x := newFixture(t, targets(8, 2))
	x.serve(200, usualResult)
	if n := x.serve(400, resultOnBad(Result{Latency: time.Millisecond, Outcome: Failed}))[bad]; n > 8 {
		t.Errorf("%d of 400 requests went to the failing target", n)
	}
	if s := x.state(bad).State; s != Ejected {
		t.Errorf("the failing target is %v", s)
	}
}

// When all targets fail, or only appear to fail from this entry, ejecting every
// one of them would refuse all requests although some instances would serve
// them.
func TestNotAllTargetsAreEjected(t *testing.T) {
	for _, outcome := range []Outcome{Failed, Refused, Silent} {
		x := newFixture(t, targets(10, 2))
		x.serve(200, usualResult)
		x.serve(400, func(string) Result { return Result{Latency: usual, Outcome: outcome} })
		ejected := 0
		for _, s := range x.b.Snapshot() {
			if s.State == Ejected && !x.b.targets[s.Address].lastResort {
				ejected++
			}
		}
		if ejected > 5 {
			t.Errorf("outcome %d: %d of 10 targets are ejected", outcome, ejected)
		}
	}
}

func TestNonIdempotentPrefersProvenTargets(t *testing.T) {
	x := newFixture(t, targets(2, 2))
	x.serve(50, usualResult)
	x.now = x.now.Add(time.Minute)
	c, _ := x.pick(Query{})
	proven := c.Address()
	c.Done(x.now, Result{Latency: 3 * usual})
	for range 20 {
		c, _ := x.pick(Query{NonIdempotent: true})
		if c.Address() != proven {
			t.Fatalf("%s was picked; only %s responded recently", c.Address(), proven)
		}
		c.Done(x.now, Result{Outcome: Canceled})
	}
}

func TestAvoidAndNearFirst(t *testing.T) {
	list := targets(3, 1)
	list[0].Zone, list[1].Zone = "far", "far"
	x := newFixture(t, list)
	if n := x.serve(20, usualResult)[list[2].Address]; n != 20 {
		t.Errorf("%d of 20 requests went to the near target", n)
	}
	c, ok := x.pick(Query{Avoid: []string{list[2].Address, list[1].Address}})
	if !ok || c.Address() != list[0].Address {
		t.Error("the only target that is not avoided was not picked")
	}
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 100
	properties := gopter.NewProperties(parameters)
	properties.Property("requests in flight stay within slots, and all slots are released", prop.ForAll(func(seed uint64) string {
		x := newFixture(t, targets(6, 3))
		x.rnd = rand.New(rand.NewPCG(seed, 7))
		var held []*Choice
		for range 2000 {
			x.now = x.now.Add(time.Duration(x.rnd.IntN(3)) * time.Millisecond)
			if c, ok := x.pick(Query{Ahead: x.rnd.IntN(50), NonIdempotent: x.rnd.IntN(2) == 0}); ok {
				held = append(held, c)
			}
			for _, s := range x.b.Snapshot() {
				if s.InFlight+s.Held > 3 {
					return fmt.Sprintf("%+v", s)
				}
			}
			if len(held) > 0 && x.rnd.IntN(2) == 0 {
				n := x.rnd.IntN(len(held))
				held[n].Done(x.now, Result{Latency: usual, Outcome: Outcome(x.rnd.IntN(5))})
				held = append(held[:n], held[n+1:]...)
			}
		}
		for _, c := range held {
			c.Done(x.now, Result{Outcome: Canceled})
		}
		x.b.Update(x.now.Add(maxHold), targets(6, 3))
		for _, s := range x.b.Snapshot() {
			if s.InFlight+s.Held != 0 {
				return fmt.Sprintf("in the end %+v", s)
			}
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestConcurrentUse(t *testing.T) {
	b := New("near", Options{})
	b.Update(start, targets(20, 4))
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(g), 9))
			for i := range 500 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				if c, ok := b.Pick(now, rnd.Uint64(), Query{}); ok {
					c.ReportOverdue(now)
					c.Done(now.Add(usual), Result{Latency: usual, Outcome: Outcome(rnd.IntN(5))})
				}
				if i%100 == g {
					b.Update(now, targets(20-g, 4))
					b.Snapshot()
				}
			}
		})
	}
	wg.Wait()
	b.Update(start.Add(time.Hour), targets(20, 4))
	for _, s := range b.Snapshot() {
		if s.InFlight+s.Held != 0 {
			t.Errorf("in the end %+v", s)
		}
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	x := newFixture(t, manyTargets(200))
	x.serve(5000, usualResult)
	allocations := testing.AllocsPerRun(1000, func() {
		c, _ := x.pick(Query{NonIdempotent: true})
		c.Done(x.now, Result{Latency: usual})
	})
	if allocations != 0 {
		t.Errorf("%v allocations a decision", allocations)
	}
}

// BenchmarkDecision measures one Pick and its Done, with a third of the slots
// in use.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{50, 26000} {
		b.Run(fmt.Sprint(n, "targets"), func(b *testing.B) {
			x := newFixture(b, manyTargets(n))
			x.serve(20*n, usualResult)
			held := make([]*Choice, n*8/3)
			for i := range held {
				held[i], _ = x.pick(Query{Ahead: 1000})
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				held[i].Done(x.now, Result{Latency: usual})
				held[i], _ = x.pick(Query{Ahead: 1000})
				i = (i + 1) % len(held)
			}
		})
	}
}
