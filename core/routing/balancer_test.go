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

	"github.com/guavarill/guavarill/core/model"
)

var start = time.Unix(1000, 0)

const usual = 10 * time.Millisecond

func targets(n, slots int) []Target {
	var list []Target
	for i := range n {
		list = append(list, Target{Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "near", Slots: slots, Connections: 60})
	}
	return list
}

// bench drives a balancer with a clock of its own.
type bench struct {
	t   testing.TB
	b   *Balancer
	now time.Time
	rnd *rand.Rand
}

func newBench(t testing.TB, list []Target) *bench {
	x := &bench{t: t, b: New("near", Options{}), now: start, rnd: rand.New(rand.NewPCG(1, 1))}
	x.b.Update(x.now, list)
	return x
}

func (x *bench) pick(q Query) (*Choice, bool) { return x.b.Pick(x.now, x.rnd.Uint64(), q) }

// serve lets n requests pass one after another, each as long as take says.
func (x *bench) serve(n int, take func(address string) Result) map[string]int {
	x.t.Helper()
	served := make(map[string]int)
	for range n {
		c, ok := x.pick(Query{Ahead: 1000})
		if !ok {
			x.t.Fatal("nothing to pick")
		}
		served[c.Address()]++
		r := take(c.Address())
		x.now = x.now.Add(r.Latency)
		c.Done(x.now, r)
	}
	return served
}

func quick(string) Result { return Result{Latency: usual} }

func (x *bench) state(address string) TargetState {
	for _, s := range x.b.Snapshot() {
		if s.Address == address {
			return s
		}
	}
	x.t.Fatalf("%s is not listed", address)
	return TargetState{}
}

const bad = "10.0.0.3:80"

func onBad(r Result) func(string) Result {
	return func(address string) Result {
		if address == bad {
			return r
		}
		return quick(address)
	}
}

func TestNewTargetsStartWithOneRequest(t *testing.T) {
	x := newBench(t, targets(2, 4))
	first, _ := x.pick(Query{})
	second, _ := x.pick(Query{})
	if _, ok := x.pick(Query{}); ok || first.Address() == second.Address() {
		t.Fatal("an unproven target got a second request")
	}
	first.Done(x.now, Result{Latency: usual})
	second.Done(x.now, Result{Latency: usual})
	x.serve(20, quick)
	if free := x.b.Free(); free != 8 {
		t.Errorf("%d of 8 slots are free after 20 answers", free)
	}
}

// Symptom: at low load one instance gets everything, and others nothing for
// hours. Sequence: one answers quicker than what is assumed of those that were
// never asked. Cause: the assumption is never put to the test.
func TestUnprovenTargetsAreTried(t *testing.T) {
	x := newBench(t, targets(4, 4))
	served := x.serve(100, func(string) Result { return Result{Latency: time.Millisecond / 4} })
	for _, target := range targets(4, 4) {
		if served[target.Address] < minSamples {
			t.Errorf("%s got %d of 100 requests", target.Address, served[target.Address])
		}
	}
}

// Symptom: requests reach an instance that is shutting down. Sequence: a sign
// says that it leaves; the list of targets, which lags, still shows it.
// Cause: the list is believed over the sign.
func TestLeavingGetsNothingNew(t *testing.T) {
	x := newBench(t, targets(2, 2))
	x.serve(20, quick)
	running, _ := x.pick(Query{})
	leaving := running.Address()
	x.b.MarkLeaving(leaving)
	if n := x.serve(50, quick)[leaving]; n != 0 {
		t.Errorf("%d requests went to a leaving target", n)
	}
	running.Done(x.now, Result{Latency: usual})
	x.b.Update(x.now, targets(2, 2))
	if n := x.serve(50, quick)[leaving]; n != 0 {
		t.Errorf("%d requests went to a leaving target once the list came", n)
	}
	replaced := targets(2, 2)
	for i := range replaced {
		replaced[i].Task.Attempt = 2
	}
	x.b.Update(x.now, replaced)
	if n := x.serve(50, quick)[leaving]; n == 0 {
		t.Error("the next attempt at the address gets nothing")
	}
}

func TestUnlistedGetsNothingNew(t *testing.T) {
	x := newBench(t, targets(2, 2))
	c, _ := x.pick(Query{})
	x.b.Update(x.now, nil)
	if _, ok := x.pick(Query{Ahead: 1000}); ok || x.b.Slots() != 0 {
		t.Error("an unlisted target was picked")
	}
	c.Done(x.now, Result{Latency: usual})
	c.Done(x.now, Result{Latency: usual})
	if n := x.b.Free(); n != 0 {
		t.Errorf("%d slots are free on no target", n)
	}
}

// Symptom: one slow instance sets the tail of the whole service. Sequence: it
// turns ten times slower; then it is well again. Cause: targets are chosen by
// free slots alone, or are never tried again.
func TestSlowTargetIsLeftEarlyAndComesBack(t *testing.T) {
	x := newBench(t, targets(8, 2))
	x.serve(400, quick)
	slow := x.serve(800, onBad(Result{Latency: 10 * usual}))
	if slow[bad] > 12 {
		t.Errorf("%d of 800 requests went to the slow target", slow[bad])
	}
	if s := x.state(bad).State; s == Healthy {
		t.Fatalf("the slow target is %v", s)
	}
	x.serve(6000, quick)
	if s := x.state(bad).State; s != Healthy {
		t.Errorf("the target is %v long after it recovered", s)
	}
	if n := x.serve(800, quick)[bad]; n < 20 {
		t.Errorf("%d of 800 requests went to the recovered target", n)
	}
}

// A slot on a slow target is worth more than a long wait, and less than a
// short one.
func TestSlowTargetServesALongQueue(t *testing.T) {
	x := newBench(t, targets(8, 1))
	x.serve(400, quick)
	for range 7 {
		if _, ok := x.pick(Query{Avoid: []string{bad}}); !ok {
			t.Fatal("no quick target is free")
		}
	}
	x.serve(20, onBad(Result{Latency: 4 * usual}))
	if s := x.state(bad).State; s != Slow {
		t.Fatalf("the target is %v", s)
	}
	if _, ok := x.pick(Query{}); ok {
		t.Error("the slow target was taken though a quick one is free soon")
	}
	if c, ok := x.pick(Query{Ahead: 10}); !ok || c.Address() != bad {
		t.Error("the slow target was not taken for a long queue")
	}
}

func TestFailingTargetRests(t *testing.T) {
	x := newBench(t, targets(8, 2))
	x.serve(200, quick)
	if n := x.serve(400, onBad(Result{Latency: time.Millisecond, Outcome: Failed}))[bad]; n > 8 {
		t.Errorf("%d of 400 requests went to the failing target", n)
	}
	if s := x.state(bad).State; s != Ejected {
		t.Errorf("the failing target is %v", s)
	}
}

// Symptom: every request is refused here though half of the instances would
// serve it. Sequence: all targets fail, or only look so from here. Cause:
// every target that looks bad is left.
func TestNeverAllRest(t *testing.T) {
	for _, outcome := range []Outcome{Failed, Refused, Silent} {
		x := newBench(t, targets(10, 2))
		x.serve(200, quick)
		x.serve(400, func(string) Result { return Result{Latency: usual, Outcome: outcome} })
		resting := 0
		for _, s := range x.b.Snapshot() {
			if s.State == Ejected && !x.b.targets[s.Address].lastResort {
				resting++
			}
		}
		if resting > 5 {
			t.Errorf("outcome %d: %d of 10 targets get nothing", outcome, resting)
		}
	}
}

// Symptom: after a middlebox lost its flows, well instances are left for
// minutes, or every old connection costs one more request. Sequence: an
// exchange stays unanswered; a new connection to the same target works; older
// ones do not. Cause: the target is blamed for its connection.
func TestSilenceBlamesTheConnectionFirst(t *testing.T) {
	x := newBench(t, targets(1, 2))
	x.serve(50, quick)
	lost, _ := x.pick(Query{NonIdempotent: true})
	x.now = x.now.Add(lost.OverdueAfter())
	lost.ReportOverdue(x.now)
	c, _ := x.pick(Query{})
	if c.RequiresNewConnection() || !c.TrustSince().After(start) || c.TrustSince().After(x.now) {
		t.Fatalf("after an overdue exchange: fresh %v, trust since %v", c.RequiresNewConnection(), c.TrustSince())
	}
	c.Done(x.now, Result{Outcome: Canceled})

	x.now = x.now.Add(lost.SilenceAfter())
	lost.ReportOverdue(x.now)
	if s := x.state("10.0.0.0:80"); s.State != Suspect || s.InFlight != 0 || s.Held != 1 {
		t.Fatalf("after a silence: %+v", s)
	}
	proof, ok := x.pick(Query{NonIdempotent: true})
	if !ok || !proof.RequiresNewConnection() {
		t.Fatal("the suspect target is not tried over a new connection")
	}
	if _, ok := x.pick(Query{Ahead: 1000}); ok {
		t.Fatal("the suspect target got a second request")
	}
	proof.Done(x.now, Result{Latency: usual})
	if s := x.state("10.0.0.0:80").State; s != Healthy {
		t.Errorf("the target that answered is %v", s)
	}
	x.now = x.now.Add(maxLimbo)
	lost.Done(x.now, Result{Outcome: Silent})
	if s := x.state("10.0.0.0:80"); s.State != Healthy || s.InFlight+s.Held != 0 {
		t.Errorf("the end of the lost exchange was held against the target: %+v", s)
	}
}

func TestSilenceOfOneConnectionAmongMany(t *testing.T) {
	x := newBench(t, targets(1, 2))
	x.serve(50, quick)
	lost, _ := x.pick(Query{})
	x.serve(20, quick)
	x.now = x.now.Add(lost.SilenceAfter())
	lost.Done(x.now, Result{Outcome: Silent})
	if s := x.state("10.0.0.0:80").State; s != Healthy {
		t.Errorf("a target that answers other requests is %v", s)
	}
}

// Symptom: an instance refuses requests, or queues them, as sent beyond its
// slots. Sequence: an answer is late, its exchange is given up as silent, and
// the slot goes to another request; the instance works on both. Cause: giving
// up an exchange does not end it.
func TestSlotOfASilentExchangeStaysTakenForAWhile(t *testing.T) {
	x := newBench(t, targets(1, 1))
	x.serve(50, quick)
	lost, _ := x.pick(Query{})
	x.now = x.now.Add(lost.SilenceAfter())
	lost.Done(x.now, Result{Outcome: Silent})
	if _, ok := x.pick(Query{Ahead: 1000}); ok {
		t.Fatal("the slot was given again at once")
	}
	x.now = x.now.Add(maxLimbo)
	if _, ok := x.pick(Query{Ahead: 1000}); !ok {
		t.Error("the slot never came back")
	}
}

func TestSecondSilenceBlamesTheTarget(t *testing.T) {
	x := newBench(t, targets(8, 2))
	x.serve(200, quick)
	x.serve(200, onBad(Result{Latency: 10 * usual, Outcome: Silent}))
	if s := x.state(bad).State; s != Ejected {
		t.Errorf("a target that is silent over new connections is %v", s)
	}
}

func TestManyOverdueDoubtAllConnections(t *testing.T) {
	x := newBench(t, targets(20, 1))
	x.serve(400, quick)
	var lost []*Choice
	for range 10 {
		c, _ := x.pick(Query{})
		lost = append(lost, c)
	}
	x.now = x.now.Add(lost[0].OverdueAfter())
	for _, c := range lost {
		c.ReportOverdue(x.now)
	}
	c, _ := x.pick(Query{})
	if !c.TrustSince().After(start) {
		t.Error("connections to other targets are trusted as before")
	}
}

func TestNonIdempotentPrefersProvenTargets(t *testing.T) {
	x := newBench(t, targets(2, 2))
	x.serve(50, quick)
	x.now = x.now.Add(time.Minute)
	c, _ := x.pick(Query{})
	proven := c.Address()
	c.Done(x.now, Result{Latency: 3 * usual})
	for range 20 {
		c, _ := x.pick(Query{NonIdempotent: true})
		if c.Address() != proven {
			t.Fatalf("%s was picked; only %s answered lately", c.Address(), proven)
		}
		c.Done(x.now, Result{Outcome: Canceled})
	}
}

func TestAvoidAndNearFirst(t *testing.T) {
	list := targets(3, 1)
	list[0].Zone, list[1].Zone = "far", "far"
	x := newBench(t, list)
	if n := x.serve(20, quick)[list[2].Address]; n != 20 {
		t.Errorf("%d of 20 requests went to the near target", n)
	}
	c, ok := x.pick(Query{Avoid: []string{list[2].Address, list[1].Address}})
	if !ok || c.Address() != list[0].Address {
		t.Error("the one target that is not avoided was not picked")
	}
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 100
	properties := gopter.NewProperties(parameters)
	properties.Property("in flight stays within slots, and all slots come back", prop.ForAll(func(seed uint64) string {
		x := newBench(t, targets(6, 3))
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
		x.b.Update(x.now.Add(maxLimbo), targets(6, 3))
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

func manyTargets(n int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{
			Address: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255),
			Zone:    model.Zone([]string{"near", "far", "farther"}[i%3]), Slots: 8, Connections: 60,
		}
	}
	return list
}

func TestPickDoesNotAllocate(t *testing.T) {
	x := newBench(t, manyTargets(200))
	x.serve(5000, quick)
	allocations := testing.AllocsPerRun(1000, func() {
		c, _ := x.pick(Query{NonIdempotent: true})
		c.Done(x.now, Result{Latency: usual})
	})
	if allocations != 0 {
		t.Errorf("%v allocations a decision", allocations)
	}
}

// BenchmarkDecision is one Pick and its Done, with a third of the slots in use.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{50, 26000} {
		b.Run(fmt.Sprint(n, "targets"), func(b *testing.B) {
			x := newBench(b, manyTargets(n))
			x.serve(20*n, quick)
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
