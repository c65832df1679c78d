package interference

import (
	"math"
	"time"
)

// RunTimes learns, per workload, the ratio of actual to declared run times. It uses
// the logarithm of the ratio, so that three times too long and three times too short
// are errors of the same size.
type RunTimes struct {
	priorWeight float64
	priorStd    float64
	workloads   map[string]*moments
}

const (
	// runTimePriorWeight is the weight of the declaration, in tasks.
	runTimePriorWeight = 2
	// runTimePriorStd is the logarithm of 2: without observations, declared run
	// times are assumed to be right within a factor of two.
	runTimePriorStd = 0.69
)

// NewRunTimes returns a learner without observations, which predicts the declared
// run times.
func NewRunTimes() *RunTimes {
	return &RunTimes{
		priorWeight: runTimePriorWeight,
		priorStd:    runTimePriorStd,
		workloads:   make(map[string]*moments),
	}
}

// Observe records the run time of a task that completed. Callers must not report
// evicted and failed attempts, which are short for another reason.
func (r *RunTimes) Observe(workload string, declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	w, ok := r.workloads[workload]
	if !ok {
		w = &moments{}
		r.workloads[workload] = w
	}
	w.add(math.Log(float64(actual) / float64(declared)))
}

// Expect returns the expected median of a task's run time, and the expected run
// time that about five in six tasks do not exceed.
func (r *RunTimes) Expect(workload string, declared time.Duration) (median, long time.Duration) {
	mean, variance := 0.0, r.priorStd*r.priorStd
	if w, ok := r.workloads[workload]; ok {
		weight := w.weight + r.priorWeight
		mean = w.mean * w.weight / weight
		variance = (w.squares + r.priorWeight*variance) / weight
	}
	median = time.Duration(float64(declared) * math.Exp(mean))
	long = time.Duration(float64(declared) * math.Exp(mean+math.Sqrt(variance)))
	return median, long
}

// Forget drops the record of a workload that is retired.
func (r *RunTimes) Forget(workload string) { delete(r.workloads, workload) }
