package jobsched

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// sharesOf returns the shares at which the worker's attempts of some images run.
func (w *fakeWorker) sharesOf(imagePrefix string) []int {
	var shares []int
	for _, a := range w.sortedAttempts() {
		if strings.HasPrefix(a.step.Image, imagePrefix) {
			shares = append(shares, a.share)
		}
	}
	return shares
}

// TestAllBestEffortWorkIsThrottledInTime guards against work that is throttled in steps,
// that which is known to disturb before the other, for longer than a serving task may be
// over its target because of it.
func TestAllBestEffortWorkIsThrottledInTime(t *testing.T) {
	const others = 6
	c := servingCluster(t, 20)
	effects := learnedEffect("known", 3*harmfulEffect)
	for i := range others {
		effects = append(effects, learnedEffect(fmt.Sprint("other-", i), 0.01)...)
	}
	c.machine.learner.Import(c.now, effects)
	step := bestEffortStep("known", 1, 1600)
	step.EstimateMs = time.Minute.Milliseconds()
	c.submit(2, "batch", step)
	for i := range others {
		step := bestEffortStep(fmt.Sprint("other-", i), 1, 800)
		step.EstimateMs = time.Minute.Milliseconds()
		c.submit(3+i, "batch", step)
	}
	c.run(time.Second)
	w := c.workers["w000"]
	if len(w.sharesOf("known")) != 1 || len(w.sharesOf("other")) != others {
		t.Fatal("the best-effort work does not run")
	}
	// Work that is not known to disturb does so at any share.
	c.tail = 103
	for overSince := c.now; slices.Max(w.sharesOf("other")) > 0; c.tick() {
		if over := c.now.Sub(overSince); over > maxHarm {
			t.Fatalf("the serving tasks are over their target for %s, work known to disturb runs at %v%%, other at %v%%", over, w.sharesOf("known"), w.sharesOf("other"))
		}
	}
}

// TestNothingStartsBesideTasksOverTheirTarget guards against best-effort work that starts,
// at full speed, beside serving tasks for which other such work was just throttled.
func TestNothingStartsBesideTasksOverTheirTarget(t *testing.T) {
	c := servingCluster(t, 30)
	c.tail = 120
	c.run(time.Second)
	id := c.submit(2, "batch", bestEffortStep("unknown", 1, 1600))
	c.run(500 * time.Millisecond)
	if n := c.runningOf(id); n != 0 {
		t.Errorf("%d tasks run beside serving tasks over their target", n)
	}
	c.tail = 30
	c.run(2 * time.Second)
	if n := c.runningOf(id); n != 1 {
		t.Errorf("%d tasks run beside serving tasks within their target, want 1", n)
	}
}
