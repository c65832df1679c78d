package jobsched

import (
	"testing"
	"time"
)

// learnCluster returns a cluster with five serving tasks on each worker, and short tasks
// whose ends bring reports in quick succession.
func learnCluster(t *testing.T, workers, budget int) *cluster {
	c := newCluster(t, 1, workers)
	c.options.LearnBudget = budget
	c.replaceLeader()
	c.run(200 * time.Millisecond)
	for i := range 5 {
		serving := makeStep(workers, 1000, time.Second)
		serving.LongRunning, serving.LatencyTargetMs, serving.Image, serving.MaxPerWorker = true, 150, "serving", 1
		c.submit(i+1, "urgent", serving)
	}
	c.run(time.Second)
	for i := range 100 {
		c.submit(1000+i, "batch", makeStep(workers, 1000, time.Duration(100+10*i)*time.Millisecond))
	}
	return c
}

// TestStepLearnsFromABoundedNumberOfReadings guards against steps that grow with the
// reports that wait for them, because all their readings are learned from at once.
func TestStepLearnsFromABoundedNumberOfReadings(t *testing.T) {
	const workers, budget = 60, 50
	c := learnCluster(t, workers, budget)
	inStep, inAll := 0, 0
	c.machine.options.OnPart = func(p Part) {
		if p == PartLearning {
			inStep++
			inAll++
		}
	}
	for end := c.now.Add(2 * time.Second); c.now.Before(end); c.tick() {
		if inStep > budget/5 {
			t.Fatalf("a step learned from %d workers with five readings each, want at most %d readings", inStep, budget)
		}
		inStep = 0
	}
	if inAll < 2*workers {
		t.Errorf("learned from the readings of workers %d times in two seconds, want each of %d twice", inAll, workers)
	}
}

// TestReadingsThatOverlapAreLearnedOnce guards against work, and false certainty, that
// grow with the rate of reports: each has the readings of the last half second.
func TestReadingsThatOverlapAreLearnedOnce(t *testing.T) {
	c := learnCluster(t, 1, DefaultLearnBudget)
	learned, reports := 0, 0
	c.machine.options.OnPart = func(p Part) {
		switch p {
		case PartLearning:
			learned++
		case PartReports:
			reports++
		}
	}
	const length = 4 * time.Second
	c.run(length)
	if most := int(length/learnInterval) + 1; learned > most || reports < 2*learned {
		t.Errorf("learned %d times from %d reports in %s, want at most %d", learned, reports, length, most)
	}
}
