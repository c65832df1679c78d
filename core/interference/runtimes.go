package interference

import (
	"math"
	"time"
)

// RunTimes learns, per workload, how long tasks run compared with their
// declaration. It works on the logarithm of the ratio: being three times over
// and three times under are errors of the same size.
type RunTimes struct {
	priorWeight float64
	priorStd    float64
	workloads   map[string]*moments
}

const (
	runTimePriorWeight = 2
	// runTimePriorStd is the logarithm of 2: declared run times are taken to
	// be right within a factor of two until seen otherwise.
	runTimePriorStd = 0.69
)

// NewRunTimes returns a learner that expects what is declared.
func NewRunTimes() *RunTimes {
	return &RunTimes{
		priorWeight: runTimePriorWeight,
		priorStd:    runTimePriorStd,
		workloads:   make(map[string]*moments),
	}
}

// Observe records a task that ran to completion. Evicted and failed attempts
// are not to be reported: they are short for another reason.
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

// Expect returns the median run time to expect and a time that about five in
// six tasks stay under.
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

// Forget drops a workload that is retired.
func (r *RunTimes) Forget(workload string) { delete(r.workloads, workload) }
