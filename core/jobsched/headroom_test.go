package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/throttle"
)

// learnedEffect returns what a new leader recovers about an image: how much it slows
// down serving tasks, and nothing about other pairs.
func learnedEffect(aggressor string, mean float64) []interference.Effect {
	return []interference.Effect{
		{Aggressor: aggressor, Mean: 0, Std: 0.01},
		{Victim: "serving", Aggressor: aggressor, Mean: mean, Std: 0.01},
	}
}

// servingCluster returns a cluster of one worker with serving tasks whose tail is
// the given percentage of their target.
func servingCluster(t *testing.T, tail int64) *cluster {
	c := newCluster(t, 1, 1)
	c.tail = tail
	c.run(200 * time.Millisecond)
	serving := longRunning(4, 1000)
	serving.Image, serving.LatencyTargetMs = "serving", 1000
	c.submit(1, "urgent", serving)
	c.run(1500 * time.Millisecond)
	return c
}

// bestEffortStep returns a step of best-effort tasks of an image.
func bestEffortStep(image string, count int, milliCPU int64) job.Step {
	s := makeStep(count, milliCPU, 20*time.Second)
	s.BestEffort, s.Checkpointing, s.Image = true, true, image
	return s
}

// TestBestEffortWorkStaysWithinTheLatencyHeadroom checks that the number of best-
// effort tasks beside serving tasks follows from the sum of their effects and the
// headroom that the load leaves. With a bound on each task alone, many small effects
// add up and serving tasks exceed their target at peak load.
func TestBestEffortWorkStaysWithinTheLatencyHeadroom(t *testing.T) {
	tests := []struct {
		name string
		tail int64
		runs int
	}{
		{"at the peak of the load", 60, 5},
		{"at a low load", 30, 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := servingCluster(t, test.tail)
			c.machine.learner.Import(c.now, learnedEffect("mild", 0.03))
			id := c.submit(2, "batch", bestEffortStep("mild", 8, 1600))
			c.run(300 * time.Millisecond)
			if n := c.runningOf(id); n != test.runs {
				t.Errorf("%d tasks of 8 run next to serving ones, want %d", n, test.runs)
			}
		})
	}
}

// TestAnUnknownImageIsTriedAtAnyLoad guards against an image without known effects
// that waits for a lower load forever, where tails are never far below their target,
// so that its effects are never learned.
func TestAnUnknownImageIsTriedAtAnyLoad(t *testing.T) {
	c := servingCluster(t, 60)
	id := c.submit(2, "batch", bestEffortStep("unknown", 1, 1600))
	c.run(300 * time.Millisecond)
	if n := c.runningOf(id); n != 1 {
		t.Errorf("%d tasks run, want 1", n)
	}
}

// TestEffectsGrowWithTheShareOfProcessors guards against effects that are learned
// and predicted per task, whatever its size. They grow with the fraction of the
// worker's processors that a task uses: otherwise large best-effort tasks disturb
// far more than predicted, and small ones are kept away from workers where they
// would be harmless.
func TestEffectsGrowWithTheShareOfProcessors(t *testing.T) {
	c := servingCluster(t, 50)
	c.machine.learner.Import(c.now, learnedEffect("mild", 0.06))
	small := c.submit(2, "batch", bestEffortStep("mild", 1, 1600))
	large := c.submit(3, "batch", bestEffortStep("mild", 1, 6400))
	c.run(300 * time.Millisecond)
	if c.runningOf(small) != 1 || c.runningOf(large) != 0 {
		t.Errorf("%d small and %d large tasks run next to serving ones, want 1 and 0", c.runningOf(small), c.runningOf(large))
	}
}

// TestDisturbingWorkIsThrottledBeforeATailExceedsItsTarget checks that work that is
// known to disturb runs at the share that the tails next to it are predicted to
// tolerate. If its share is raised to full speed in steps until a tail exceeds its
// target, and then reduced, each such cycle costs the users of the serving tasks a
// second.
func TestDisturbingWorkIsThrottledBeforeATailExceedsItsTarget(t *testing.T) {
	c := servingCluster(t, 45)
	id := c.submit(2, "batch", bestEffortStep("loud", 1, 1600))
	c.run(300 * time.Millisecond)
	if n := c.runningOf(id); n != 1 {
		t.Fatalf("%d tasks of an unknown image run, want 1", n)
	}
	c.machine.learner.Import(c.now, learnedEffect("loud", 2))
	c.run(1200 * time.Millisecond)
	for _, a := range c.workers["w000"].sortedAttempts() {
		if a.step.BestEffort && (a.share < throttle.Floor || a.share > 50) {
			t.Errorf("the task runs at a share of %d%%, want about 38", a.share)
		}
	}
}

// TestServingTasksAreNotLearnedAsAggressors guards against slowdowns that are
// attributed to other serving tasks on the worker. They do not disturb each other,
// and would take a part of the attribution from the work that does.
func TestServingTasksAreNotLearnedAsAggressors(t *testing.T) {
	c := servingCluster(t, 50)
	c.tail = 150
	c.run(3 * time.Second)
	if e := c.machine.learner.Predict("serving", "serving", 0); e.Mean > learnerOptions().PriorMean {
		t.Errorf("serving tasks are predicted to slow each other down by %.2f", e.Mean)
	}
}
