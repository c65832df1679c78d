package jobsched

import (
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// busyCluster returns a cluster of 48 workers with serving tasks on all of them
// and more best-effort work than fits.
func busyCluster(b testing.TB) *cluster {
	c := newCluster(b, 1, 48)
	c.run(200 * time.Millisecond)
	images := []string{"s1", "s2", "s3", "s4", "s5"}
	for i := range 35 {
		serving := makeStep(6, 3200, time.Second)
		serving.LongRunning, serving.LatencyTargetMs, serving.Image = true, 150, images[i%len(images)]
		c.submit(i+1, "urgent", serving)
	}
	c.run(time.Second)
	return c
}

// submitBatch submits one best-effort job.
func (c *cluster) submitBatch(i int) {
	images := []string{"b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8", "b9"}
	steps := []job.Step{makeStep(8, 1800, 1700*time.Millisecond), makeStep(8, 1800, 1700*time.Millisecond, 0)}
	for s := range steps {
		steps[s].BestEffort, steps[s].Checkpointing, steps[s].Image = true, true, images[i%len(images)]
	}
	c.submit(100+i, "batch", steps...)
}

// BenchmarkBusySecond plays a second of a crowded cluster: 14 jobs handed in,
// about 150 tasks started and ended, and hundreds of tasks that wait.
func BenchmarkBusySecond(b *testing.B) {
	c := busyCluster(b)
	jobs := 0
	for range 120 {
		c.submitBatch(jobs)
		jobs++
	}
	c.run(2 * time.Second)
	b.ResetTimer()
	for range b.N {
		for range 14 {
			c.submitBatch(jobs)
			jobs++
		}
		c.run(time.Second)
	}
	b.ReportMetric(float64(c.starts)/float64(b.N), "starts/op")
}
