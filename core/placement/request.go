package placement

import (
	"slices"

	"github.com/guavarill/guavarill/core/model"
)

// The values of Request.Spread. An empty value asks for no even spread.
const (
	SpreadZone = "zone"
	SpreadRack = "rack"
)

// Request describes a task to be placed.
type Request struct {
	Key                   model.TaskKey
	Workload, Class, Team string
	Service               bool
	Priority              model.Priority
	// Size is the resources to commit for the task: the learned size, or the
	// declared one.
	Size model.Resources
	// Spread is the kind of domain over which the instances of a service are
	// spread evenly: SpreadZone, SpreadRack or empty.
	Spread string
	// Instances is the number of tasks of the workload that the workers of the
	// snapshot are to hold in total. The limits of SpreadFilter and
	// FailureDomainFilter are shares of it. If it is 0, the tasks already
	// placed plus this one are used.
	Instances int
	// FailedWorkers are the workers on which the task failed before.
	FailedWorkers []model.WorkerID
	// LastWorker is the worker of the task's latest attempt, if there was one.
	LastWorker model.WorkerID
	// Evictions is the number of times that the task was evicted.
	Evictions uint32
}

func (r *Request) failedOn(id model.WorkerID) bool {
	return slices.Contains(r.FailedWorkers, id)
}

// Decision is the result of placing a task.
type Decision struct {
	Worker model.WorkerID
	// Score is the weighted mean of the scores, from 0 to 1.
	Score float64
	// Considered is the number of candidates that passed the filters.
	Considered int
	// Relaxed holds the names of the soft filters that were dropped, in order.
	Relaxed []string
}
