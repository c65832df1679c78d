package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/joblog"
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

// TestThrottledAttemptRunsOnAfterATakeover guards against a new leader that takes an
// attempt which an earlier one has throttled for one at full speed: it stays throttled
// for good, and at a share of 0 it is stopped as stalled and its worker blamed.
func TestThrottledAttemptRunsOnAfterATakeover(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.keepNotes = true
	c.run(200 * time.Millisecond)
	serving := longRunning(1, 3000)
	serving.LatencyTargetMs, serving.Image = 1000, "serving"
	c.submit(1, "urgent", serving)
	filling := makeStep(1, 2000, 20*time.Second)
	filling.BestEffort, filling.Image = true, "filling"
	c.submit(2, "batch", filling)
	c.run(2 * time.Second)
	share := func() int {
		for _, a := range c.workers["w000"].sortedAttempts() {
			if a.step.BestEffort {
				return a.share
			}
		}
		t.Fatal("the best-effort attempt does not run")
		return 0
	}
	c.tail = 200
	for share() > 0 {
		c.run(50 * time.Millisecond)
	}
	c.tail = 33
	c.replaceLeader()
	c.run(bestEffortStallTimeout + 3*time.Second)
	if share() != fullSpeed {
		t.Errorf("the attempt runs at %d%% under the new leader, beside a calm serving task", share())
	}
	if stops := c.notesOf(joblog.MessageAttemptStopped); len(stops) > 0 {
		t.Errorf("stopped: %q", stops)
	}
}
