package manifest

import (
	"reflect"

	"github.com/guavarill/guavarill/core/model"
)

// Manifest is the whole of what should run in one cluster.
type Manifest struct {
	Cluster   string     `json:"cluster"`
	Teams     []Team     `json:"teams"`
	Workloads []Workload `json:"workloads"`
}

// Team owns workloads and bounds what they may hold together.
type Team struct {
	Name string `json:"name"`
	// Quota is the most that the team's running tasks may hold in sum; nil is
	// no limit. A quota that does not mention accelerators allows none.
	Quota *model.Resources `json:"quota,omitempty"`
}

// Workload declares a service or a batch job.
type Workload struct {
	Name string     `json:"name"`
	Team string     `json:"team"`
	Kind model.Kind `json:"kind"`
	// Class groups workloads that disturb others, and are disturbed, alike.
	Class string `json:"class"`
	// Priority is low, normal, high or urgent.
	Priority string `json:"priority"`
	// Size is what one task is expected to use.
	Size model.Resources `json:"size"`
	// Tasks is how many instances a service has, or how many tasks a batch job
	// consists of.
	Tasks int `json:"tasks"`

	// Slots is how many requests one instance of a service serves at a time,
	// and Connections how many connections it accepts over all entries.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
	// MaxQueue bounds an entry's queue of requests for a service; 0 is the
	// entry's own default.
	MaxQueue int `json:"maxQueue,omitempty"`
	// Timeout is the deadline of a request that brings none; 0 is the entry's
	// own default.
	Timeout Duration `json:"timeout,omitempty"`

	// RunTime is how long a batch task is expected to run; 0 is unknown.
	RunTime Duration `json:"runTime,omitempty"`
	// LongRunning marks batch tasks that lose much when they are evicted.
	LongRunning bool `json:"longRunning,omitempty"`

	// MaxAttempts is how often a failing task is tried; 0 is the scheduler's
	// own default.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Spread is what tasks are spread over: SpreadZone, SpreadRack or nothing.
	Spread string `json:"spread,omitempty"`
	// Args are handed to each task.
	Args []string `json:"args,omitempty"`
}

// What tasks can be spread over.
const (
	SpreadZone = "zone"
	SpreadRack = "rack"
)

// PriorityValue returns the workload's priority; one that is absent or unknown
// is normal.
func (w *Workload) PriorityValue() model.Priority {
	if p, ok := model.ParsePriority(w.Priority); ok {
		return p
	}
	return model.PriorityNormal
}

// IsService reports whether the workload answers callers.
func (w *Workload) IsService() bool { return w.Kind == model.KindService }

// Equal reports whether two normalised declarations say the same.
func (w *Workload) Equal(o *Workload) bool { return reflect.DeepEqual(w, o) }

// Equal reports whether two declarations say the same.
func (t *Team) Equal(o *Team) bool { return reflect.DeepEqual(t, o) }
