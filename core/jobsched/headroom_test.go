package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/interference"
	"github.com/guavarill/guavarill/core/job"
)

// learnedEffect is what a leader takes over of an image: how much it slows serving
// tasks down, and nothing of its ways with others.
func learnedEffect(aggressor string, mean float64) []interference.Effect {
	return []interference.Effect{
		{Aggressor: aggressor, Mean: 0, Std: 0.01},
		{Victim: "serving", Aggressor: aggressor, Mean: mean, Std: 0.01},
	}
}

// servingCluster is a worker with serving tasks whose tail is the given part, in
// percent, of their target.
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

// bestEffortStep is a step of best-effort work of an image.
func bestEffortStep(image string, count int, milliCPU int64) job.Step {
	s := makeStep(count, milliCPU, 20*time.Second)
	s.BestEffort, s.Checkpointing, s.Image = true, true, image
	return s
}

// Serving tasks were over their target mostly at the peak of their load, and beside
// best-effort work that was known to be harmless. Each of its tasks added a few
// hundredths to the tail, which was held to a bound of its own; nobody added them
// up, and at the peak little was left up to the target. How much may start has to
// follow from what all of it adds, and from what the load leaves.
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
				t.Errorf("%d tasks of 8 run beside serving ones, want %d", n, test.runs)
			}
		})
	}
}

// Where tails are never far below their target, an image of which nothing is known
// would wait for a lower load for ever, and nothing would ever be known of it.
func TestAnUnknownImageIsTriedAtAnyLoad(t *testing.T) {
	c := servingCluster(t, 60)
	id := c.submit(2, "batch", bestEffortStep("unknown", 1, 1600))
	c.run(300 * time.Millisecond)
	if n := c.runningOf(id); n != 1 {
		t.Errorf("%d tasks run, want 1", n)
	}
}

// Best-effort tasks with many processors disturbed far more than was predicted, and
// small ones were kept away from places where they would have harmed nobody: effects
// were learned and predicted by the task, whatever its size. They grow with the part
// of the worker's processors that a task uses.
func TestEffectsGrowWithTheShareOfProcessors(t *testing.T) {
	c := servingCluster(t, 50)
	c.machine.learner.Import(c.now, learnedEffect("mild", 0.06))
	small := c.submit(2, "batch", bestEffortStep("mild", 1, 1600))
	large := c.submit(3, "batch", bestEffortStep("mild", 1, 6400))
	c.run(300 * time.Millisecond)
	if c.runningOf(small) != 1 || c.runningOf(large) != 0 {
		t.Errorf("%d small and %d large tasks run beside serving ones, want 1 and 0", c.runningOf(small), c.runningOf(large))
	}
}

// Work that is known to disturb was let up to full speed in steps, until a tail was
// over its target, was cut, and began anew: each turn cost the users of the serving
// tasks a second. It works at the share that the tails beside it are predicted to
// bear.
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
		if a.step.BestEffort && (a.share < throttleFloor || a.share > 50) {
			t.Errorf("it works at a share of %d%%, want some 38", a.share)
		}
	}
}

// Co-resident serving tasks were blamed for each other's tails, though they do not
// disturb, and took a part of the blame from the work that does.
func TestServingTasksAreNotLearnedAsAggressors(t *testing.T) {
	c := servingCluster(t, 50)
	c.tail = 150
	c.run(3 * time.Second)
	if e := c.machine.learner.Predict("serving", "serving", 0); e.Mean > learnerOptions().PriorMean {
		t.Errorf("serving tasks are predicted to slow each other down by %.2f", e.Mean)
	}
}
