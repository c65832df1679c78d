package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/interference"
)

// TestBestEffortWorkDoesNotWaitForEverBesideServingTasks checks that a best-effort
// step that has waited for long while much of the cluster is free starts where it
// disturbs least; throttling then protects the tasks next to it. In a crowded
// cluster it keeps waiting.
//
// Without this rule, best-effort steps waited for 31 s in a mostly free cluster:
// their image was known to disturb the serving tasks, and each worker had a few of
// them. Until the end, all of the steps were noted as "step waits ... no room 1,
// would disturb 47".
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
