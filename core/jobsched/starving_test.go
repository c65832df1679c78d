package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/interference"
)

// TestBestEffortWorkDoesNotWaitForEverBesideServingTasks guards against a best-
// effort step that waits for ever because every worker has a few tasks that it
// disturbs. While much of the cluster is free it starts where it disturbs least and
// is throttled; in a crowded cluster it waits.
func TestBestEffortWorkDoesNotWaitForEverBesideServingTasks(t *testing.T) {
	tests := []struct {
		name    string
		serving int64
		runs    int
	}{
		{"much is free", 2000, 2},
		{"crowded", 13000, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 1, 2)
			c.machine.learner.Import(c.now, []interference.Effect{
				{Victim: "serving", Aggressor: "loud", Mean: 1.5, Std: 0.1},
			})
			c.run(200 * time.Millisecond)
			serving := longRunning(2, test.serving)
			serving.Image, serving.LatencyTargetMs, serving.MaxPerWorker = "serving", 150, 1
			c.submit(1, "urgent", serving)
			c.run(time.Second)
			loud := makeStep(2, 1000, 20*time.Second)
			loud.BestEffort, loud.Image = true, "loud"
			id := c.submit(2, "batch", loud)
			c.run(time.Second)
			if n := c.runningOf(id); n != 0 {
				t.Errorf("%d tasks run at first, want none", n)
			}
			c.run(bestEffortMaxWait + time.Second)
			if n := c.runningOf(id); n != test.runs {
				t.Errorf("%d tasks run after the maximum wait, want %d", n, test.runs)
			}
		})
	}
}
