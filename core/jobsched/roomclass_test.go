package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// unsizedStep returns a step whose tasks request nothing.
func unsizedStep(count int, estimate time.Duration) job.Step {
	s := makeStep(count, 0, estimate)
	s.Size = model.Resources{}
	return s
}

// TestTasksThatRequestNothing guards against a leader that ends with a panic when the
// second of several tasks without a size ends on a worker.
func TestTasksThatRequestNothing(t *testing.T) {
	for name, step := range map[string]job.Step{
		"processors":   unsizedStep(12, time.Second),
		"best-effort":  {Count: 12, EstimateMs: 1000, BestEffort: true},
		"long-running": {Count: 12, EstimateMs: 1000, LongRunning: true},
		"gang":         {Count: 12, EstimateMs: 1000, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClusterWith(t, 1, 2, Policies{ShareRoom: true, RejectHopeless: true, WorkerSpeeds: true})
			c.checkRounds = true
			unsized := c.submit(1, "urgent", step)
			sized := c.submit(2, "urgent", makeStep(6, 1000, 700*time.Millisecond))
			c.run(2 * time.Second)
			c.replaceLeader()
			c.run(3 * time.Second)
			if step.LongRunning {
				c.cancel(unsized)
				c.run(2 * time.Second)
			}
			for _, id := range []job.ID{unsized, sized} {
				if s := c.state(id); !s.Final() {
					t.Errorf("job %s is %s in the end: %s", id, s, c.describe(id))
				}
			}
			for _, w := range c.machine.workers.All() {
				if len(w.classUses) > 0 {
					t.Errorf("%s: classes without an attempt use %v", w.id, w.classUses)
				}
			}
		})
	}
}
