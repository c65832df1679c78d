package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// TestFullCommitsFollowEachOther guards against callers, and workers whose ends wait, that
// wait for a pause between commits although the next one is full.
func TestFullCommitsFollowEachOther(t *testing.T) {
	const jobs = 100
	c := newCluster(t, 1, 50)
	c.run(time.Second)
	for i := range jobs {
		c.submit(i+1, "urgent", makeStep(1, 2000, 300*time.Millisecond))
	}
	c.run(100 * time.Millisecond)
	c.storeDown = true
	c.run(2 * time.Second)
	c.restoreStore()
	restored := c.now
	for id := range c.specs() {
		for c.state(id) != job.Completed && c.now.Sub(restored) < time.Second {
			c.tick()
		}
	}
	const want = 100 * time.Millisecond
	if took := c.now.Sub(restored); took > want {
		t.Errorf("%d jobs that are done are stored after %s, want at most %s", jobs, took, want)
	}
}
