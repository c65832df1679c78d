package jobsched

import (
	"testing"
	"time"
)

// TestEndsAreAcknowledgedBesideWhatWaits guards against ends that are acknowledged
// only with a commit that leaves nothing waiting to be stored. With a store that
// takes 150 ms and a hundred jobs a second, something is always waiting: no end was
// acknowledged any more, and 190 were kept on one worker. From 500 kept ends on, a
// worker no longer reports new ones, so that done tasks appear to be running.
func TestEndsAreAcknowledgedBesideWhatWaits(t *testing.T) {
	const jobsPerSecond, seconds, mostKept = 100, 12, 60
	c := newCluster(t, 1, 50)
	c.run(200 * time.Millisecond)
	c.storeDelay = 150 * time.Millisecond
	most := int64(0)
	for i := range jobsPerSecond * seconds {
		c.submit(i+1, "urgent", makeStep(8, 1000, 400*time.Millisecond))
		c.run(time.Second / jobsPerSecond)
		for _, w := range c.machine.workers.All() {
			most = max(most, w.lastSeenEnd-w.lastAckedEnd)
		}
	}
	if most > mostKept {
		t.Errorf("a worker kept %d ends, want at most %d", most, mostKept)
	}
}
