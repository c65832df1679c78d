package jobsched

import (
	"testing"
	"time"
)

// TestBestEffortWorkIsThrottledAboveTheLatencyTarget checks when best-effort work is
// throttled: at once if a tail is clearly above its latency target, within a second
// or two if it stays slightly above it, well before the four seconds that are
// allowed, and never below it. Throttling from 0.9 of the target on cost a tenth of
// the value of all work, for tails that harm no one.
func TestBestEffortWorkIsThrottledAboveTheLatencyTarget(t *testing.T) {
	tests := []struct {
		name      string
		tail      int64
		after     time.Duration
		throttled bool
	}{
		{"below", 97, 4 * time.Second, false},
		{"slightly above, at first", 103, 800 * time.Millisecond, false},
		{"slightly above for long", 103, 3 * time.Second, true},
		{"clearly above", 120, 1200 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 1, 1)
			c.run(200 * time.Millisecond)
			serving := longRunning(1, 3000)
			serving.LatencyTargetMs, serving.Image = 1000, "serving"
			c.submit(1, "urgent", serving)
			filling := makeStep(1, 2000, time.Minute)
			filling.BestEffort, filling.Checkpointing, filling.Image = true, true, "filling"
			c.submit(2, "batch", filling)
			c.run(2 * time.Second)
			c.tail = test.tail
			c.run(test.after)
			throttled := false
			for _, w := range c.workers {
				for _, a := range w.sortedAttempts() {
					throttled = throttled || a.step.BestEffort && a.share < fullSpeed
				}
			}
			if throttled != test.throttled {
				t.Errorf("throttled: %v after %s at %d%% of the target, want %v", throttled, test.after, test.tail, test.throttled)
			}
		})
	}
}
