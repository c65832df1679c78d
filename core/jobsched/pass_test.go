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
	c.options.RoundBudget = 16
	c.replaceLeader()
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

// manyRounds returns a cluster in which ten urgent steps wait for one more worker
// than there is. None of that is remembered, and a round has looks for one of
// them.
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

// TestEveryStepHasItsTurn: the first of the steps that wait uses up the looks of
// each round in which it has its turn. A less urgent step that fits has one all
// the same, since each step has one in a pass.
func TestEveryStepHasItsTurn(t *testing.T) {
	c := manyRounds(t)
	last := c.submit(1, "batch", makeStep(1, 1000, time.Minute))
	c.run(2 * time.Second)
	if c.runningOf(last) != 1 {
		t.Error("the last step never had its turn")
	}
}

// What changed in the middle of a pass was forgotten at its end, also for the
// steps that had had their turn: room that an end had left lay idle until the
// next look that comes by time alone, 200 ms later.
func TestChangeInAnOpenPassBringsTheNext(t *testing.T) {
	c := manyRounds(t)
	for !c.machine.pass.open {
		c.tick()
	}
	c.machine.changed = true
	for c.machine.pass.open {
		c.tick()
	}
	number := c.machine.pass.number
	c.run(saturatedInterval + 2*clusterTick)
	if c.machine.pass.number == number {
		t.Errorf("no pass began within %s of one in which something changed", saturatedInterval)
	}
}

// A long-running task failed and was started again 8 s later, on a leader that
// was slow and a pass that took as long: its step had had its turn, hundreds that
// fitted nowhere had not, and each round went on where the last one had stopped.
// The most urgent steps have a turn in every round.
//
// What settled it: "attempt ended" of the task at 53.194 and no other line of it
// for 15 s, while 270 attempts of others were started each second.
func TestTheMostUrgentStepsHaveATurnInEveryRound(t *testing.T) {
	c := newCluster(t, 1, 8)
	c.options.RoundBudget = 32
	c.replaceLeader()
	c.run(200 * time.Millisecond)
	// One of its tasks waits for a ninth worker, so that its step has its turn in
	// each pass.
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
	if !c.machine.pass.open {
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
