package jobsched

import "time"

const (
	// firstRunTimeRatio is assumed for a queue before any of its jobs is done.
	firstRunTimeRatio = 1.3
	// runTimeRatioWeight is the weight of one more observation.
	runTimeRatioWeight = 0.05
	// minRunTimeRatio and maxRunTimeRatio bound an observation: estimates may be off
	// by any factor.
	minRunTimeRatio, maxRunTimeRatio = 1.0, 4.0
)

// runTimeRatios holds, by queue, how many times their critical path occurrences take
// that wait for no worker. It is above 1 because each step waits for its slowest
// task, some attempts fail, and processors are shared.
type runTimeRatios map[string]float64

// of returns the ratio of a queue.
func (r runTimeRatios) of(queue string) float64 {
	if ratio, known := r[queue]; known {
		return ratio
	}
	return firstRunTimeRatio
}

// observe counts an occurrence that took the given time.
func (r runTimeRatios) observe(queue string, took time.Duration, criticalPathMs int64) {
	if criticalPathMs <= 0 {
		return
	}
	ratio := float64(took.Milliseconds()) / float64(criticalPathMs)
	ratio = min(max(ratio, minRunTimeRatio), maxRunTimeRatio)
	r[queue] = r.of(queue) + runTimeRatioWeight*(ratio-r.of(queue))
}

// observeRunTime counts an occurrence that is done, unless the time that it took is
// not known or was spent waiting.
func (m *Machine) observeRunTime(o *occurrence) {
	if o.waited || o.firstStartAt.IsZero() || o.job.recovered {
		return
	}
	m.runTimes.observe(m.queue(o.job).Name, m.now.Sub(o.firstStartAt), o.criticalPathMs)
}
