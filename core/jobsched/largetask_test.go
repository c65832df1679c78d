package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// playSmallTasks keeps four workers full of tasks of 2 cores for 8 s while one task needs
// 14 of the 16 cores of a worker. It returns how long that one waits for its start, or 8 s.
func playSmallTasks(t *testing.T, share bool) time.Duration {
	const played = 8 * time.Second
	c := newClusterWith(t, 1, 4, Policies{ShareRoom: share})
	number := 100
	submit := func() {
		c.submit(number, "urgent", makeStep(1, 2000, time.Second))
		number++
	}
	for range 40 {
		submit()
		c.run(25 * time.Millisecond)
	}
	large := c.submit(1, "urgent", makeStep(1, 14000, 2*time.Second))
	begun := c.now
	for c.now.Sub(begun) < played {
		submit()
		c.run(25 * time.Millisecond)
		if c.task(job.TaskKey{Job: large}).lastStart.After(begun) {
			return c.now.Sub(begun)
		}
	}
	return played
}

// TestLargeTaskAmongSmallOnes guards against a large task for which no worker ever has
// room because small tasks take each gap as it opens. Its job can spare 1.25 s: room is
// reserved after half of that, and free once the tasks there, of 1 s, have ended.
func TestLargeTaskAmongSmallOnes(t *testing.T) {
	const bound = 625*time.Millisecond + time.Second + scheduleInterval + 2*orderDelay
	if waited := playSmallTasks(t, true); waited > bound {
		t.Errorf("the large task waited for %s, want at most %s", waited, bound)
	}
	if waited := playSmallTasks(t, false); waited <= bound {
		t.Errorf("the large task waited for %s without a reservation: the load is too low", waited)
	}
}
