package job

import (
	"fmt"

	"github.com/guavarill/guavarill/core/model"
)

// Fleet is what the workers of each service have, by which a job that none of
// them could ever run is told from one that has to wait.
type Fleet struct {
	Services map[string]ServiceFleet `json:"services"`
}

// ServiceFleet holds the workers of a service by their labels; those of any label
// are under the empty one.
type ServiceFleet map[string]WorkerGroup

// WorkerGroup is the workers that have a label.
type WorkerGroup struct {
	Workers int `json:"workers"`
	// Largest holds the capacities that no other one of the group exceeds in every
	// dimension.
	Largest []model.Resources `json:"largest"`
}

// Add takes a worker in.
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

// InfeasibleError says that no worker which is there could run a step of a job.
type InfeasibleError struct {
	// Step numbers the job's steps from 0.
	Step   int
	Reason string
}

// Error implements error.
func (e *InfeasibleError) Error() string { return fmt.Sprintf("step %d %s", e.Step, e.Reason) }

// HasService reports whether anything is known of a service's workers.
func (f *Fleet) HasService(service string) bool { return len(f.Services[service]) > 0 }

// Check returns an *UnservableError for a job whose steps the workers of the
// service could not all run, be they ever so idle. A service of which nothing is
// known may have workers soon.
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

// infeasibleReason says why a step can never run, and nothing if it can.
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
