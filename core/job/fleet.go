package job

import (
	"fmt"

	"github.com/guavarill/guavarill/core/model"
)

// Fleet summarizes the labels and capacities of each service's workers. It
// distinguishes a job that no worker could ever run from one that has to wait.
type Fleet struct {
	Services map[string]ServiceFleet `json:"services"`
}

// ServiceFleet maps each label to the service's workers that have it. The empty
// label maps to all workers of the service.
type ServiceFleet map[string]WorkerGroup

// WorkerGroup summarizes the workers that have a label.
type WorkerGroup struct {
	Workers int `json:"workers"`
	// Largest holds the capacities that fit within no other capacity of the
	// group. A size that fits one worker of the group fits one of these.
	Largest []model.Resources `json:"largest"`
}

// Add adds a worker of a service.
func (f *Fleet) Add(service string, labels []string, capacity model.Resources) {
	if f.Services == nil {
		f.Services = make(map[string]ServiceFleet)
	}
	groups := f.Services[service]
	if groups == nil {
		groups = make(ServiceFleet)
		f.Services[service] = groups
	}
	groups.add("", capacity)
	for _, label := range labels {
		if label != "" {
			groups.add(label, capacity)
		}
	}
}

func (s ServiceFleet) add(label string, capacity model.Resources) {
	g := s[label]
	g.Workers++
	var kept []model.Resources
	for _, known := range g.Largest {
		if capacity.Fits(known) {
			s[label] = g
			return
		}
		if !known.Fits(capacity) {
			kept = append(kept, known)
		}
	}
	g.Largest = append(kept, capacity)
	s[label] = g
}

// InfeasibleError reports that none of a service's known workers could ever run
// a step of a job.
type InfeasibleError struct {
	// Step is the step's index in the job's declaration.
	Step   int
	Reason string
}

// Error implements error.
func (e *InfeasibleError) Error() string { return fmt.Sprintf("step %d %s", e.Step, e.Reason) }

// HasService reports whether the fleet has workers of a service.
func (f *Fleet) HasService(service string) bool { return len(f.Services[service]) > 0 }

// Check returns an *InfeasibleError for the first step of a job that the
// service's workers could not run even if all of them were idle. It returns nil
// for a service without known workers, because workers may join soon.
func (f *Fleet) Check(service string, spec *Spec) error {
	groups, known := f.Services[service]
	if !known {
		return nil
	}
	for number := range spec.Steps {
		step := &spec.Steps[number]
		if reason := groups.infeasibleReason(step); reason != "" {
			return &InfeasibleError{Step: number, Reason: reason}
		}
	}
	return nil
}

// infeasibleReason returns why the workers can never run a step, or "" if they
// can.
func (s ServiceFleet) infeasibleReason(step *Step) string {
	group, known := s[step.Label]
	switch {
	case !known:
		return fmt.Sprintf("asks for the label %q, which no worker has", step.Label)
	case !group.canFit(step.Size):
		return fmt.Sprintf("has tasks of %s, and no worker is that large", step.Size)
	case step.Gang && step.MaxPerWorker > 0 && step.Count > step.MaxPerWorker*group.Workers:
		return fmt.Sprintf("has %d tasks that work only together, at most %d on one of %d workers", step.Count,
			step.MaxPerWorker, group.Workers)
	}
	return ""
}

func (g WorkerGroup) canFit(size model.Resources) bool {
	for _, capacity := range g.Largest {
		if size.Fits(capacity) {
			return true
		}
	}
	return false
}
