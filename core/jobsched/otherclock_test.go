package jobsched

import (
	"testing"
	"time"
)

// TestStartThatAnotherClockAnswers guards against a task that runs twice although the clock
// in the answer to its start told that the next incarnation of the worker had granted the
// lease. The start was carried by a daemon that does not tell incarnations apart.
func TestStartThatAnotherClockAnswers(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.keepIDs, c.keepNotes = true, true
	c.options.MaxLease = maxLease
	c.replaceLeader()
	c.run(500 * time.Millisecond)
	for _, id := range c.workerIDs() {
		// The clock of the incarnation after the next one is far behind again.
		c.restart(c.workers[id])
	}
	c.run(4 * time.Second)
	step := makeStep(1, 2000, time.Minute)
	step.LongRunning = true
	c.submit(1, "urgent", step)
	for before := c.starts; c.starts == before; {
		c.tick()
	}
	id := c.notes[len(c.notes)-1].Worker.ID
	previous := c.workers[id]
	previous.crash()
	c.restartUnderSameID(previous)
	next := c.workers[id]
	c.run(30 * time.Millisecond)
	if len(next.attempts) != 1 {
		t.Fatalf("the next incarnation runs %d attempts, want 1", len(next.attempts))
	}
	next.partitioned = true
	c.run(10 * time.Second)
}
