package jobsched

import (
	"testing"
	"time"
)

// Best-effort work was slowed from 0.9 of the latency target on, which cost a
// tenth of what all work is worth, for tails that harm nobody. It is slowed at
// once when a tail is clearly above its target; when it stays a little above it,
// within a second or two, well before the four that are allowed; and not below.
func TestBestEffortWorkIsThrottledAboveTheLatencyTarget(t *testing.T) {
	tests := []struct {
		name      string
		tail      int64
		after     time.Duration
		throttled bool
	}{
		{"below", 97, 4 * time.Second, false},
		{"a little above, at first", 103, 800 * time.Millisecond, false},
		{"a little above for long", 103, 3 * time.Second, true},
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
				t.Errorf("slowed %v after %s at %d%% of the target, want %v", throttled, test.after, test.tail, test.throttled)
			}
		})
	}
}
