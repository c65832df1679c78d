package interference

import "github.com/guavarill/guavarill/core/model"

// variances learns how much the loudness of a workload's tasks varies, from
// task to task and over time.
type variances struct {
	prior     float64
	classes   map[string]float64
	workloads map[string]float64
}

func newVariances(std float64) *variances {
	return &variances{
		prior:     std * std,
		classes:   make(map[string]float64),
		workloads: make(map[string]float64),
	}
}

// of returns the variance of a workload's tasks; its class's when it was never
// seen.
func (v *variances) of(class, workload string) float64 {
	if known, ok := v.workloads[workload]; ok {
		return known
	}
	if known, ok := v.classes[class]; ok {
		return known
	}
	return v.prior
}

// The rates at which variances follow what is seen. A class sees the
// observations of all its workloads.
const (
	classVarianceRate    = 0.005
	workloadVarianceRate = 0.02
	minVariance          = 0.01
)

// observe takes in what a task's loudness became. A term that the observation
// left as uncertain as before says nothing, and moves nothing.
func (v *variances) observe(class string, key model.TaskKey, t *term) {
	was := v.of(class, key.Workload)
	informed := 1 - min(1, t.variance/was)
	seen := t.mean*t.mean + t.variance
	classWas, ok := v.classes[class]
	if !ok {
		classWas = v.prior
	}
	v.classes[class] = moveToward(classWas, seen, classVarianceRate*informed)
	v.workloads[key.Workload] = moveToward(was, seen, workloadVarianceRate*informed)
}

func moveToward(was, seen, rate float64) float64 {
	return max(minVariance, was+rate*(seen-was))
}
