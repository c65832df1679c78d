package jobsched

import (
	"testing"
	"time"
)

// TestStartsInFlightAreBounded guards against unbounded starts in flight. When wide
// jobs arrive at once and hundreds of tasks fit, their orders, the responses and the
// renewal of the leader's lease compete for the processor for longer than the lease.
// A leader with an eighth of a core lost the lead every few seconds, with "the store
// did not renew the lease", although the store was healthy.
func TestStartsInFlightAreBounded(t *testing.T) {
	const bound = 40
	c := newCluster(t, 1, 120)
	c.options.StartsInFlight = bound
	c.replaceLeader()
	c.run(200 * time.Millisecond)
	for i := range 40 {
		c.submit(i+1, "batch", makeStep(40, 500, time.Second))
	}
	most := 0
	for range 200 {
		c.tick()
		starting := 0
		for _, w := range c.machine.workers.All() {
			for _, a := range w.attempts.All() {
				if a.phase == phaseStarting {
					starting++
				}
			}
		}
		if starting != c.machine.starting {
			t.Fatalf("%d starts are counted, want %d", c.machine.starting, starting)
		}
		most = max(most, starting)
	}
	if most == 0 || most > bound {
		t.Errorf("at most %d starts were in flight, want 1 to %d", most, bound)
	}
	c.run(4 * time.Second)
	if c.starts < 1600 {
		t.Errorf("%d starts, want 1600", c.starts)
	}
}
