package interference

import "github.com/guavarill/guavarill/core/model"

// variances learns the variance of the intensity of a workload's tasks, between
// tasks and over time.
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

// of returns the variance for a workload. If the workload was never observed it
// returns that of the class, and if the class was not either, the prior.
func (v *variances) of(class, workload string) float64 {
	if known, ok := v.workloads[workload]; ok {
		return known
	}
	if known, ok := v.classes[class]; ok {
		return known
	}
	return v.prior
}

func (v *variances) forgetClass(class string) { delete(v.classes, class) }

// The rates at which variances follow observations. The rate for a class is lower
// because a class receives the observations of all its workloads.
const (
	classVarianceRate    = 0.005
	workloadVarianceRate = 0.02
	minVariance          = 0.01
)

// observe learns from a task's corrected intensity. It uses the rate in proportion to
// the reduction of the term's variance, so that a term that is as uncertain as before
// changes nothing.
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

// moveToward moves a variance towards the observed one by a rate between 0 and 1.
func moveToward(was, seen, rate float64) float64 {
	return max(minVariance, was+rate*(seen-was))
}
