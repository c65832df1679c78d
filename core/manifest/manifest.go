package manifest

import (
	"reflect"

	"github.com/guavarill/guavarill/core/model"
)

// Manifest declares everything that should run in one cluster.
type Manifest struct {
	Cluster   string     `json:"cluster"`
	Teams     []Team     `json:"teams"`
	Workloads []Workload `json:"workloads"`
}

// Team owns workloads and limits the resources that they use together.
type Team struct {
	Name string `json:"name"`
	// Quota is the maximum sum of the resources of the team's running tasks; nil
	// means no limit. A quota that omits accelerators allows none.
	Quota *model.Resources `json:"quota,omitempty"`
}

// Workload declares a service or a batch job.
type Workload struct {
	Name string     `json:"name"`
	Team string     `json:"team"`
	Kind model.Kind `json:"kind"`
	// Class groups workloads with the same interference behaviour: they slow
	// others down, and are slowed down by them, to the same degree.
	Class string `json:"class"`
	// Priority is low, normal, high or urgent.
	Priority string `json:"priority"`
	// Size is the resources that one task is expected to use.
	Size model.Resources `json:"size"`
	// Tasks is the number of instances of a service, or the number of tasks of a
	// batch job.
	Tasks int `json:"tasks"`

	// Slots is the number of requests that one instance of a service handles
	// concurrently. Connections is the number of connections that it accepts in
	// total from all entries, the daemons that send it requests.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
	// MaxQueue limits the queue of requests for a service in one entry; 0 selects
	// the default of the entry.
	MaxQueue int `json:"maxQueue,omitempty"`
	// Timeout applies to requests that set none of their own; 0 selects the
	// default of the entry.
	Timeout Duration `json:"timeout,omitempty"`

	// RunTime is the expected run time of a batch task; 0 means unknown.
	RunTime Duration `json:"runTime,omitempty"`
	// LongRunning marks batch tasks that lose much work if they are evicted.
	LongRunning bool `json:"longRunning,omitempty"`

	// MaxAttempts is the maximum number of attempts of a failing task; 0 selects
	// the default of the scheduler.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Spread is the failure domain over which tasks are spread: SpreadZone,
	// SpreadRack, or empty for none.
	Spread string `json:"spread,omitempty"`
	// Args are the arguments passed to each task.
	Args []string `json:"args,omitempty"`
}

// The values of Workload.Spread.
const (
	SpreadZone = "zone"
	SpreadRack = "rack"
)

// PriorityValue returns the priority of the workload, and the normal one if it is
// absent or unknown.
func (w *Workload) PriorityValue() model.Priority {
	if p, ok := model.ParsePriority(w.Priority); ok {
		return p
	}
	return model.PriorityNormal
}

// IsService reports whether the workload is a service.
func (w *Workload) IsService() bool { return w.Kind == model.KindService }

// Equal reports whether two normalised declarations are equal.
func (w *Workload) Equal(o *Workload) bool { return reflect.DeepEqual(w, o) }

// Equal reports whether two declarations are equal.
func (t *Team) Equal(o *Team) bool { return reflect.DeepEqual(t, o) }
