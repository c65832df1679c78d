package jobsched

import (
	"testing"
	"time"
)

// TestEndIsToldBesideUnacknowledgedOnes guards against steps that wait for an end because
// its worker is not asked: a worker with an end that waits to be stored does not tell the
// next one by itself.
func TestEndIsToldBesideUnacknowledgedOnes(t *testing.T) {
	const bound = unackedShortEndsInterval + 2*orderDelay + 2*clusterTick
	for offset := time.Duration(0); offset < unackedEndsInterval; offset += 20 * time.Millisecond {
		if took := timeUntilEndIsKnown(t, offset); took > bound {
			t.Errorf("an end %s after the last report is known after %s, want at most %s", offset, took, bound)
		}
	}
}

// timeUntilEndIsKnown returns how long after its end a task is known to have ended, on a
// worker whose earlier end waits to be stored. The task starts at the given time after that
// one.
func timeUntilEndIsKnown(t *testing.T, offset time.Duration) time.Duration {
	c := newCluster(t, 1, 1)
	c.run(time.Second)
	first := c.submit(1, "batch", makeStep(1, 1000, 300*time.Millisecond))
	c.run(100 * time.Millisecond)
	c.storeDelay = 5 * time.Second
	for c.runningOf(first) > 0 {
		c.tick()
	}
	c.run(offset)
	second := c.submit(2, "urgent", makeStep(1, 1000, 640*time.Millisecond))
	c.run(100 * time.Millisecond)
	for c.runningOf(second) > 0 {
		c.tick()
	}
	endedAt, j := c.now, c.machine.jobs.Get(second)
	for !j.state.Final() && c.now.Sub(endedAt) < time.Second {
		c.tick()
	}
	return c.now.Sub(endedAt)
}
