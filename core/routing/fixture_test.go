package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

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

// fixture drives a balancer with its own clock.
type fixture struct {
	t   testing.TB
	b   *Balancer
	now time.Time
	rnd *rand.Rand
}

func newFixture(t testing.TB, list []Target) *fixture {
	x := &fixture{t: t, b: New("near", Options{}), now: start, rnd: rand.New(rand.NewPCG(1, 1))}
	x.b.Update(x.now, list)
	return x
}

func (x *fixture) pick(q Query) (*Choice, bool) { return x.b.Pick(x.now, x.rnd.Uint64(), q) }

// serve runs n requests one after another, each with the result that take
// returns.
func (x *fixture) serve(n int, take func(address string) Result) map[string]int {
	x.t.Helper()
	served := make(map[string]int)
	for range n {
		c, ok := x.pick(Query{Ahead: 1000})
		if !ok {
			x.t.Fatal("no target was picked")
		}
		served[c.Address()]++
		r := take(c.Address())
		x.now = x.now.Add(r.Latency)
		c.Done(x.now, r)
	}
	return served
}

func usualResult(string) Result { return Result{Latency: usual} }

func (x *fixture) state(address string) TargetState {
	for _, s := range x.b.Snapshot() {
		if s.Address == address {
			return s
		}
	}
	x.t.Fatalf("%s is not listed", address)
	return TargetState{}
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
