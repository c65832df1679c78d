package joborder

import "time"

const (
	// FirstRunTimeRatio is assumed for a queue before any of its jobs is done.
	FirstRunTimeRatio = 1.3
	// runTimeRatioWeight is the weight of one more observation.
	runTimeRatioWeight = 0.05
	// minRunTimeRatio and maxRunTimeRatio bound an observation: estimates may be off
	// by any factor.
	minRunTimeRatio, maxRunTimeRatio = 1.0, 4.0
)

// RunTimes holds, by queue, how many times their critical path occurrences take
// that wait for no worker. It is above 1 because each step waits for its slowest
// task, some attempts fail, and processors are shared.
type RunTimes map[string]float64

// Of returns the ratio of a queue.
func (r RunTimes) Of(queue string) float64 {
	if ratio, known := r[queue]; known {
		return ratio
	}
	return FirstRunTimeRatio
}

// Observe counts an occurrence that took the given time.
func (r RunTimes) Observe(queue string, took time.Duration, criticalPathMs int64) {
	if criticalPathMs <= 0 {
		return
	}
	ratio := float64(took.Milliseconds()) / float64(criticalPathMs)
	ratio = min(max(ratio, minRunTimeRatio), maxRunTimeRatio)
	r[queue] = r.Of(queue) + runTimeRatioWeight*(ratio-r.Of(queue))
}
