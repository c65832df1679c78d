package jobsched

import (
	"testing"
	"time"
)

func TestRunTimeRatios(t *testing.T) {
	r := make(runTimeRatios)
	if r.of("q") != firstRunTimeRatio {
		t.Errorf("ratio of a new queue %.2f", r.of("q"))
	}
	for range 200 {
		r.observe("q", 1800*time.Millisecond, 1000)
		r.observe("off", time.Hour, 1)
		r.observe("short", time.Millisecond, 1000)
		r.observe("none", time.Second, 0)
	}
	for queue, want := range map[string]float64{"q": 1.8, "off": maxRunTimeRatio, "short": minRunTimeRatio, "none": firstRunTimeRatio} {
		if got := r.of(queue); got < want-0.01 || got > want+0.01 {
			t.Errorf("ratio of %s %.2f, want %.2f", queue, got, want)
		}
	}
}

// TestRunTimeRatioIsLearnedFromJobsThatDoNotWait guards against a ratio that grows
// with the backlog: then jobs would count as late because others wait.
func TestRunTimeRatioIsLearnedFromJobsThatDoNotWait(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.run(time.Second)
	for i := range 100 {
		c.submit(i+1, "urgent", makeStep(2, 4000, time.Second))
	}
	c.run(60 * time.Second)
	if ratio := c.machine.runTimes.of("urgent"); ratio > firstRunTimeRatio {
		t.Errorf("ratio %.2f after a backlog of jobs that take their estimates", ratio)
	}
}
