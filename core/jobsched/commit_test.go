package jobsched

import (
	"testing"
	"time"
)

// Ends were acknowledged only with a commit that left nothing waiting to be
// stored. With a store that took 150 ms and a hundred jobs a second something
// always waited: no end was acknowledged any more, 190 were kept on one worker,
// and from 500 on a worker no longer lists new ones, so that tasks that are done
// look as if they ran.
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
