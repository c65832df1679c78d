package jobsched

import (
	"testing"
	"time"
)

// TestUrgentStepComesNextInAnOpenPass checks that an urgent step that arrives during
// a pass over hundreds of steps, which takes many rounds, does not wait for the end
// of the pass. It has its turn in the next round, before less urgent steps that
// arrived earlier, and each of them still has its turn.
func TestUrgentStepComesNextInAnOpenPass(t *testing.T) {
	c := newCluster(t, 1, 8)
	c.options.RoundBudget = 16
	c.replaceLeader()
	c.run(200 * time.Millisecond)
	for i := range 10 {
		c.submit(10+i, "batch", makeStep(1, 1000, time.Minute))
	}
	c.tick()
	c.tick()
	if !c.machine.pass.IsOpen() {
		t.Fatal("the pass over ten steps ended after one round with a budget for two checks of all workers")
	}
	placed := c.starts
	urgent := c.submit(1, "urgent", makeStep(1, 1000, time.Minute))
	c.tick()
	c.run(2 * orderDelay)
	if c.runningOf(urgent) != 1 {
		t.Errorf("the urgent task does not run after the next round; %d tasks were placed before", placed)
	}
	c.run(time.Second)
	if c.starts != 11 {
		t.Errorf("%d tasks were started, want 11", c.starts)
	}
}

// manyRounds returns a cluster in which ten urgent steps wait for one more worker
// than there is. They are not remembered as unplaceable, and the budget of a round
// suffices for one of them.
func manyRounds(t *testing.T) *cluster {
	c := newCluster(t, 1, 8)
	c.options.RoundBudget = 8
	c.replaceLeader()
	c.run(200 * time.Millisecond)
	for i := range 10 {
		s := makeStep(9, 100, time.Minute)
		s.MaxPerWorker = 1
		c.submit(10+i, "urgent", s)
	}
	c.run(2 * time.Second)
	return c
}

// TestEveryStepHasItsTurn checks that a less urgent step that fits has its turn
// although the first waiting step uses up the budget of each round in which it has
// its turn: each step has one turn in a pass.
func TestEveryStepHasItsTurn(t *testing.T) {
	c := manyRounds(t)
	last := c.submit(1, "batch", makeStep(1, 1000, time.Minute))
	c.run(2 * time.Second)
	if c.runningOf(last) != 1 {
		t.Error("the last step never had its turn")
	}
}

// TestChangeInAnOpenPassBringsTheNext guards against changes during a pass that are
// forgotten at its end, also for steps that had their turn before: room left by an
// ended attempt was unused until the next pass that begins by time alone, 200 ms
// later.
func TestChangeInAnOpenPassBringsTheNext(t *testing.T) {
	c := manyRounds(t)
	for !c.machine.pass.IsOpen() {
		c.tick()
	}
	c.machine.changed = true
	for c.machine.pass.IsOpen() {
		c.tick()
	}
	number := c.machine.pass.Number()
	c.run(saturatedInterval + 2*clusterTick)
	if c.machine.pass.Number() == number {
		t.Errorf("no pass began within %s of one in which something changed", saturatedInterval)
	}
}

// TestTheMostUrgentStepsHaveATurnInEveryRound guards against rounds that only
// continue where the previous one stopped. A long-running task that fails after its
// step had its turn would wait for the end of a pass of hundreds of steps that fit
// nowhere.
func TestTheMostUrgentStepsHaveATurnInEveryRound(t *testing.T) {
	c := newCluster(t, 1, 8)
	c.options.RoundBudget = 32
	c.replaceLeader()
	c.run(200 * time.Millisecond)
	// One of its tasks waits for a ninth worker, so that the step has a turn in each
	// pass.
	s := longRunning(9, 1000)
	s.MaxPerWorker = 1
	lasting := c.submit(1, "urgent", s)
	c.run(200 * time.Millisecond)
	for i := range 400 {
		s := makeStep(9, 10, time.Minute)
		s.MaxPerWorker = 1
		c.submit(10+i, "batch", s)
	}
	c.run(time.Second)
	if !c.machine.pass.IsOpen() {
		t.Fatal("no pass is open")
	}
	w := c.workers[c.firstWorkerOf(lasting)]
	for _, a := range w.sortedAttempts() {
		if a.key.task.Job == lasting {
			w.end(a, EndFailed)
		}
	}
	c.run(300 * time.Millisecond)
	if c.runningOf(lasting) != 8 {
		t.Error("a long-running task that failed waits for the end of a long pass")
	}
}
