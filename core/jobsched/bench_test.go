package jobsched

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// busyCluster returns a cluster whose workers run serving tasks.
func busyCluster(b testing.TB, workers int) *cluster {
	c := newCluster(b, 1, workers)
	c.run(200 * time.Millisecond)
	images := []string{"s1", "s2", "s3", "s4", "s5"}
	for i := range workers * 35 / 48 {
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

// BenchmarkBusySecond plays a second of a crowded cluster of 48 workers: 14
// submitted jobs, about 150 tasks started and ended, and hundreds of waiting tasks.
// With 350 workers it plays the same load per worker.
func BenchmarkBusySecond(b *testing.B) {
	for _, workers := range []int{48, 350} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) { benchmarkBusySecond(b, workers) })
	}
}

func benchmarkBusySecond(b *testing.B, workers int) {
	c := busyCluster(b, workers)
	jobs := 0
	for range 120 * workers / 48 {
		c.submitBatch(jobs)
		jobs++
	}
	c.run(2 * time.Second)
	benchmarkSecond(b, c, func() {
		for range 14 * workers / 48 {
			c.submitBatch(jobs)
			jobs++
		}
		c.run(time.Second)
	})
}

// benchmarkSecond reports the machine's processing time for one second of a cluster.
func benchmarkSecond(b *testing.B, c *cluster, second func()) {
	b.ResetTimer()
	machine := c.machineTime
	for range b.N {
		second()
	}
	b.ReportMetric(float64(c.machineTime-machine)/float64(b.N)/1e6, "machine-ms/op")
}

// BenchmarkFullCluster plays a second of 350 workers that are filled with
// long-running tasks, while 600 urgent steps wait that fit nowhere and preempt
// nothing.
func BenchmarkFullCluster(b *testing.B) {
	c := newCluster(b, 1, 350)
	c.run(200 * time.Millisecond)
	for i := range 350 {
		c.submit(i+1, "urgent", longRunning(7, 2200))
	}
	c.run(time.Second)
	for i := range 600 {
		step := makeStep(6, int64(2000+i%7*300), 800*time.Millisecond)
		if i%4 == 0 {
			step.MaxPerWorker = 2
		}
		c.submit(1000+i, "urgent", step)
	}
	c.run(500 * time.Millisecond)
	benchmarkSecond(b, c, func() { c.run(time.Second) })
}

// BenchmarkWaitingGangs plays a second of 350 workers that are filled with
// long-running tasks, while 600 gangs wait that must run on one rack and fit on
// none.
func BenchmarkWaitingGangs(b *testing.B) {
	c, _ := fullCluster(b)
	for i := range 600 {
		gang := makeStep(20, int64(1900+i%7*300), 800*time.Millisecond)
		gang.Gang, gang.SameRack = true, true
		c.submit(1000+i, "urgent", gang)
	}
	c.run(500 * time.Millisecond)
	benchmarkSecond(b, c, func() { c.run(time.Second) })
}

// BenchmarkPlacement places steps of 40 tasks on clusters of several sizes, a
// quarter of whose workers run long-running tasks, and reports the time per task.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{48, 350, 1100, 3500} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) { benchmarkPlacement(b, workers) })
	}
}

func benchmarkPlacement(b *testing.B, workers int) {
	c := newCluster(b, 1, workers)
	c.run(200 * time.Millisecond)
	for i := range workers / 4 {
		c.submit(i+1, "urgent", longRunning(4, 3200))
	}
	c.run(time.Second)
	const tasks = 40
	c.options.RoundBudget = 1 << 40
	c.machine.options.RoundBudget = 1 << 40
	var took time.Duration
	for i := range b.N {
		id := c.submit(10000+i, "batch", makeStep(tasks, 1800, time.Minute))
		began := time.Now()
		c.machine.Advance(c.now, c.wall)
		took += time.Since(began)
		c.cancel(id)
		c.run(time.Second)
	}
	b.ReportMetric(float64(took.Microseconds())/float64(b.N)/tasks, "us/task")
}

// BenchmarkRoster measures the check whether a roster is due, and a roster of all
// workers with their attempts, as a leader writes it when it hands over.
func BenchmarkRoster(b *testing.B) {
	c := newCluster(b, 1, 1100)
	c.run(time.Second)
	for i := range 200 {
		c.submit(1+i, "batch", makeStep(40, 1800, time.Minute))
	}
	c.run(5 * time.Second)
	b.Run("look", func(b *testing.B) {
		for b.Loop() {
			c.machine.roster.checkedAt = time.Time{}
			c.machine.rosterDue()
		}
	})
	b.Run("hand over", func(b *testing.B) {
		bytes, attempts := 0, 0
		for b.Loop() {
			last, _ := c.machine.HandOver(c.now, c.wall)
			data, err := json.Marshal(last.Roster)
			if err != nil {
				b.Fatal(err)
			}
			bytes, attempts = len(data), 0
			for _, e := range last.Roster {
				attempts += len(e.Attempts)
			}
		}
		b.ReportMetric(float64(bytes), "bytes")
		b.ReportMetric(float64(attempts), "attempts")
	})
}
