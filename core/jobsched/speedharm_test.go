package jobsched

import (
	"fmt"
	"testing"
	"time"
)

// TestTaskWithinItsTargetAloneIsProtectedOnASlowWorker guards against best-effort work
// that harms a serving task for long, because the tails of other images on its worker
// grow more by the slowness of the worker than its own.
func TestTaskWithinItsTargetAloneIsProtectedOnASlowWorker(t *testing.T) {
	const heavySteps, alone, disturbed = 5, 1.8, 4.5
	c := newClusterWith(t, 1, 5, Policies{WorkerSpeeds: true})
	for i := range heavySteps + 1 {
		step := longRunning(5, 2500)
		step.LatencyTargetMs, step.MaxUnavailable, step.MaxPerWorker, step.Image = 1000, 1, 1, "heavy"
		if i == heavySteps {
			step.Image = "light"
		}
		c.submit(1+i, "urgent", step)
	}
	c.run(8 * time.Second)
	w := c.workers["w000"]
	w.tails = map[string]float64{"heavy": 4, "light": alone}
	c.run(3 * time.Second)
	if slow := c.machine.SlowWorkers(); slow != 1 {
		t.Fatalf("%d workers are slow, want 1", slow)
	}
	for i := range 5 {
		c.submit(100+i, "batch", bestEffortStep(fmt.Sprint("unknown-", i), 14, 800))
	}
	var over, longest time.Duration
	for range 3000 {
		c.tick()
		w.tails["light"], over = alone, over+clusterTick
		for _, a := range w.sortedAttempts() {
			if a.step.BestEffort && a.share > 0 {
				w.tails["light"] = disturbed
			}
		}
		if w.tails["light"] == alone {
			over = 0
		}
		longest = max(longest, over)
	}

	if longest == 0 || longest > maxHarm/2 {
		t.Errorf("a task was over its target for %s by best-effort work, want at most %s", longest, maxHarm/2)
	}
}

// TestShortBestEffortWorkCountsAsDisturbance guards against readings that pass for
// undisturbed because the best-effort work beside them ended before the report arrived.
func TestShortBestEffortWorkCountsAsDisturbance(t *testing.T) {
	c := newClusterWith(t, 1, 1, Policies{WorkerSpeeds: true})
	serving := longRunning(1, 1000)
	serving.LatencyTargetMs, serving.Image = 1000, "serving"
	c.submit(1, "urgent", serving)
	c.run(2 * time.Second)
	for i := range 10 {
		step := bestEffortStep("short", 1, 800)
		step.EstimateMs = 100
		id := c.submit(2+i, "batch", step)
		for c.runningOf(id) == 0 {
			c.tick()
		}
		for c.runningOf(id) > 0 {
			c.tick()
		}
		c.run(readingSpan / 2)
		for _, w := range c.machine.workers.All() {
			if w.isUndisturbed(c.now) {
				t.Errorf("job %d: the worker passes for undisturbed %s after its best-effort work", i, readingSpan/2)
			}
		}
		c.run(2 * time.Second)
	}
}
