package jobsched

import (
	"testing"
	"time"
)

// TestUrgentStepComesNextInAnOpenPass: a pass over hundreds of steps takes many
// rounds, and an urgent step that comes in the middle must not wait for its end.
// It has its turn in the next round, before those that came earlier and are less
// urgent; and each of them has its turn too.
func TestUrgentStepComesNextInAnOpenPass(t *testing.T) {
	c := newCluster(t, 1, 8)
	c.options.RoundLooks = 16
	c.lead()
	c.run(200 * time.Millisecond)
	for i := range 10 {
		c.submit(10+i, "batch", makeStep(1, 1000, time.Minute))
	}
	c.tick()
	c.tick()
	if !c.machine.pass.open {
		t.Fatal("the pass over ten steps is over after one round of two looks at all workers")
	}
	placed := c.starts
	urgent := c.submit(1, "urgent", makeStep(1, 1000, time.Minute))
	c.tick()
	c.run(2 * orderDelay)
	if c.runningOf(urgent) != 1 {
		t.Errorf("the urgent task does not run after the round that follows it; %d tasks were placed before", placed)
	}
	c.run(time.Second)
	if c.starts != 11 {
		t.Errorf("%d tasks were started, want 11", c.starts)
	}
}
